#include "storage/damage_quarantine.h"

#include <fcntl.h>

#include <algorithm>
#include <utility>

namespace delivery {

DamageQuarantine::DamageQuarantine(FileSystem& files, std::string path, std::uint64_t capacity_bytes)
    : files_(files), path_(std::move(path)), capacity_bytes_(capacity_bytes) {}

DamageQuarantine::Result DamageQuarantine::store(const std::string& data,
                                                 const std::vector<ByteRange>& ranges) {
  const int create_flag = ranges.empty() ? 0 : O_CREAT;
  const FileDescriptor file(files_, files_.open(path_, O_WRONLY | O_APPEND | create_flag));
  Result result;
  if (!file.isOpen()) {
    return result;
  }
  result.opened = true;
  const off_t size = files_.size(file.get());
  result.file_bytes = size < 0 ? 0 : static_cast<std::uint64_t>(size);
  for (const ByteRange& range : ranges) {
    storeRange(file, data, range, result);
  }
  return result;
}

void DamageQuarantine::storeRange(const FileDescriptor& file, const std::string& data, const ByteRange& range,
                                  Result& result) {
  std::string stored_text = "\n-- bytes " + std::to_string(range.begin) + " to " + std::to_string(range.end) +
                            "\n" + data.substr(range.begin, range.end - range.begin);
  const std::uint64_t free_bytes =
      capacity_bytes_ > result.file_bytes ? capacity_bytes_ - result.file_bytes : 0;
  if (stored_text.size() > free_bytes) {
    result.dropped_bytes += stored_text.size() - free_bytes;
    stored_text.resize(free_bytes);
  }
  if (stored_text.empty()) {
    return;
  }
  if (writeAll(files_, file, stored_text)) {
    result.file_bytes += stored_text.size();
  } else {
    result.dropped_bytes += stored_text.size();
  }
}

}  // namespace delivery
