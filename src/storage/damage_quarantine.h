// The quarantine file: keeps the damaged bytes of the journal for later inspection.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "storage/record_scanner.h"

namespace delivery {

class DamageQuarantine {
 public:
  // The file grows to at most `capacity_bytes`, including the bytes from earlier runs. When it is full, the
  // oldest bytes stay and new ones are dropped.
  DamageQuarantine(FileSystem& files, std::string path, std::uint64_t capacity_bytes);

  struct Result {
    bool opened = false;           // false if the file can't be opened, or does not exist and is not needed
    std::uint64_t file_bytes = 0;  // the size of the file, if it was opened
    std::uint64_t dropped_bytes = 0;  // bytes that were not stored: the file was full or the write failed
  };
  // Appends the given ranges of `data`, each after a line that states its offsets. Creates the file if there
  // are any ranges.
  Result store(const std::string& data, const std::vector<ByteRange>& ranges);

 private:
  void storeRange(const FileDescriptor& file, const std::string& data, const ByteRange& range,
                  Result& result);

  FileSystem& files_;
  std::string path_;
  std::uint64_t capacity_bytes_;
};

}  // namespace delivery
