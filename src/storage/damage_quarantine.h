// Keeps damaged bytes of the journal in a separate file, for later inspection.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "storage/record_scanner.h"

namespace delivery {

class DamageQuarantine {
 public:
  // At most `capacity_bytes` are kept, those of earlier runs included; the oldest stay.
  DamageQuarantine(FileSystem& files, std::string path, std::uint64_t capacity_bytes);

  struct Result {
    bool opened = false;              // false: nothing could be kept, or there is nothing to keep
    std::uint64_t file_bytes = 0;     // the file's size, if it was opened
    std::uint64_t dropped_bytes = 0;  // that were not kept, as there was no room or the write failed
  };
  // Appends these ranges of `data`, each behind a line that names it. The file is created if there are any.
  Result store(const std::string& data, const std::vector<ByteRange>& ranges);

 private:
  void storeRange(const FileDescriptor& file, const std::string& data, const ByteRange& range,
                  Result& result);

  FileSystem& files_;
  std::string path_;
  std::uint64_t capacity_bytes_;
};

}  // namespace delivery
