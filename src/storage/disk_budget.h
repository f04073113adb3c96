// The limit of the disk space that the files of the journal may take together. Sizes count in whole blocks,
// as a file system allocates them.
#pragma once

#include <algorithm>
#include <cstdint>

namespace delivery {

class DiskBudget {
 public:
  explicit DiskBudget(std::uint64_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // The budget that is left beside a file of `other_file_bytes`.
  static DiskBudget remainingBeside(std::uint64_t limit_bytes, std::uint64_t other_file_bytes) {
    return DiskBudget(limit_bytes - std::min(limit_bytes, roundedUpToBlocks(other_file_bytes)));
  }

  bool fits(std::uint64_t file_bytes) const { return roundedUpToBlocks(file_bytes) <= limit_bytes_; }

  // Whether two files fit that exist at the same time, as the old and the new one do during a compaction.
  bool fitsTogether(std::uint64_t first_bytes, std::uint64_t second_bytes) const {
    return roundedUpToBlocks(first_bytes) + roundedUpToBlocks(second_bytes) <= limit_bytes_;
  }

  // Whether a file of `file_bytes`, of which a compaction keeps `live_bytes`, can be compacted with
  // kSpareBytes to spare.
  bool allowsCompaction(std::uint64_t file_bytes, std::uint64_t live_bytes) const {
    return roundedUpToBlocks(file_bytes) + roundedUpToBlocks(live_bytes) + kSpareBytes <= limit_bytes_;
  }

  // How many bytes are left beside a file and its compaction; see allowsCompaction().
  std::uint64_t freeBesideCompaction(std::uint64_t file_bytes, std::uint64_t live_bytes) const {
    const std::uint64_t used = roundedUpToBlocks(file_bytes) + roundedUpToBlocks(live_bytes) + kSpareBytes;
    return limit_bytes_ - std::min(limit_bytes_, used);
  }

 private:
  static constexpr std::uint64_t kBlockBytes = 512;
  static constexpr std::uint64_t kSpareBytes = 64u << 10;

  static std::uint64_t roundedUpToBlocks(std::uint64_t bytes) {
    return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
  }

  std::uint64_t limit_bytes_;
};

}  // namespace delivery
