// The disk space that the journal's files may take together, in whole blocks.
#pragma once

#include <algorithm>
#include <cstdint>

namespace delivery {

class DiskBudget {
 public:
  explicit DiskBudget(std::uint64_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // What is left of the limit beside a file of this size.
  static DiskBudget beside(std::uint64_t limit_bytes, std::uint64_t other_file_bytes) {
    return DiskBudget(limit_bytes - std::min(limit_bytes, inBlocks(other_file_bytes)));
  }

  bool fits(std::uint64_t file_bytes) const { return inBlocks(file_bytes) <= limit_bytes_; }

  // Two files that exist at the same time: during a compaction, the old one and the new one.
  bool fitsTogether(std::uint64_t first_bytes, std::uint64_t second_bytes) const {
    return inBlocks(first_bytes) + inBlocks(second_bytes) <= limit_bytes_;
  }

  // Whether a file of `file_bytes`, of which `live_bytes` are needed, can be compacted with room to spare.
  bool allowsCompaction(std::uint64_t file_bytes, std::uint64_t live_bytes) const {
    return inBlocks(file_bytes) + inBlocks(live_bytes) + kSpareBytes <= limit_bytes_;
  }

 private:
  static constexpr std::uint64_t kBlockBytes = 512;
  static constexpr std::uint64_t kSpareBytes = 64u << 10;

  static std::uint64_t inBlocks(std::uint64_t bytes) {
    return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
  }

  std::uint64_t limit_bytes_;
};

}  // namespace delivery
