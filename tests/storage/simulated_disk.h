// A simulated disk in memory for tests of the journal, with calls that fail, kills in the middle of a call,
// and power cuts.
#pragma once

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "storage/file_system.h"

namespace delivery {

// A kill of the process ends it in the middle of a call and keeps the data that was written. A power cut may
// lose any part of the data that was not synced.
class SimulatedDisk : public FileSystem {
 public:
  explicit SimulatedDisk(unsigned seed = 1) : random_(seed) {}

  // Calls are counted from 1. From call `fail_from` on, `fail_count` calls fail with `fail_errno`. No call
  // fails if that is 0.
  int fail_errno = 0;
  int fail_from = 0;
  int fail_count = 0;
  int kill_at_call = 0;       // the call in which the process is killed; 0 if it is not killed
  bool short_writes = false;  // whether a write may write only a part of its data

  int syncCount() const { return sync_count_; }
  bool killed() const { return killed_; }

  void powerCut() {
    const std::map<std::string, std::shared_ptr<File>> files_before_cut(files_);
    for (const auto& [name, file] : files_before_cut) {
      loseUnsyncedWrites(*file);
    }
    for (const auto& [name, file] : synced_files_) {
      loseUnsyncedWrites(*file);
    }
    if (randomBelow(2) == 0) {
      files_ = synced_files_;  // loses the renames since the latest sync of the folder
    }
    synced_files_ = files_;
    restart();
  }

  // Starts a new process on the files as they are.
  void restart() {
    killed_ = false;
    kill_at_call = 0;
    call_count_ = 0;
    open_files_.clear();
  }

  std::string content(const std::string& name) const {
    const auto found = files_.find(name);
    return found == files_.end() ? "" : found->second->content;
  }

  void setContent(const std::string& name, const std::string& data) {
    auto& file = files_[name];
    if (!file) {
      file = std::make_shared<File>();
    }
    file->content = data;
    file->synced_content = data;
    file->unsynced_writes.clear();
    synced_files_ = files_;
  }

  // The size of all files together, in whole blocks.
  std::uint64_t bytesOnDisk() const {
    constexpr std::size_t kBlockBytes = 512;
    std::uint64_t sum = 0;
    for (const auto& [name, file] : files_) {
      sum += (file->content.size() + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
    }
    return sum;
  }

  int open(const std::string& path, int flags) override {
    if (!beginCall()) {
      return -1;
    }
    auto found = files_.find(path);
    if (found == files_.end()) {
      if ((flags & O_CREAT) == 0) {
        errno = ENOENT;
        return -1;
      }
      found = files_.emplace(path, std::make_shared<File>()).first;
    }
    if ((flags & O_TRUNC) != 0) {
      found->second->resize(0);
    }
    ++last_descriptor_;
    open_files_[last_descriptor_] = {found->second, 0};
    return last_descriptor_;
  }

  ssize_t read(int fd, char* buffer, std::size_t size) override {
    if (!beginCall()) {
      return -1;
    }
    OpenFile& open_file = open_files_.at(fd);
    const std::string& content = open_file.file->content;
    const std::size_t count = content.copy(buffer, size, open_file.position);
    open_file.position += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(int fd, const char* data, std::size_t size) override {
    const bool alive = beginCall();
    if (!alive && !killed_in_this_call_) {
      return -1;
    }
    std::size_t count = size;
    if (!alive || (short_writes && size > 1)) {
      count = static_cast<std::size_t>(randomBelow(static_cast<int>(size)));
    }
    if (alive && count == 0) {
      count = 1;
    }
    killed_in_this_call_ = false;
    if (count > 0) {
      open_files_.at(fd).file->append(std::string(data, count));
    }
    return alive ? static_cast<ssize_t>(count) : -1;
  }

  int truncate(int fd, off_t size) override {
    if (!beginCall()) {
      return -1;
    }
    open_files_.at(fd).file->resize(static_cast<std::size_t>(size));
    return 0;
  }

  off_t size(int fd) override {
    if (!beginCall()) {
      return -1;
    }
    return static_cast<off_t>(open_files_.at(fd).file->content.size());
  }

  int sync(int fd) override {
    if (!beginCall()) {
      return -1;
    }
    ++sync_count_;
    File& file = *open_files_.at(fd).file;
    file.synced_content = file.content;
    file.unsynced_writes.clear();
    return 0;
  }

  int syncFolder(const std::string& /*path*/) override {
    if (!beginCall()) {
      return -1;
    }
    ++sync_count_;
    synced_files_ = files_;
    return 0;
  }

  int rename(const std::string& from, const std::string& to) override {
    if (!beginCall()) {
      return -1;
    }
    files_[to] = files_.at(from);
    files_.erase(from);
    return 0;
  }

  int unlink(const std::string& path) override {
    if (!beginCall()) {
      return -1;
    }
    return files_.erase(path) > 0 ? 0 : -1;
  }

  void close(int fd) override { open_files_.erase(fd); }

 private:
  struct Write {
    std::size_t offset = 0;
    std::string data;
  };

  struct File {
    std::string content;
    std::string synced_content;
    std::vector<Write> unsynced_writes;

    void append(const std::string& data) {
      unsynced_writes.push_back({content.size(), data});
      content += data;
    }

    void resize(std::size_t size) {
      content.resize(size);
      std::vector<Write> kept;
      for (const Write& write : unsynced_writes) {
        if (write.offset < size) {
          kept.push_back({write.offset, write.data.substr(0, size - write.offset)});
        }
      }
      unsynced_writes = kept;
      if (synced_content.size() > size) {
        synced_content.resize(size);
      }
    }
  };

  struct OpenFile {
    std::shared_ptr<File> file;
    std::size_t position = 0;
  };

  // Counts a call. Returns false and sets errno if the call has to fail.
  bool beginCall() {
    killed_in_this_call_ = false;
    if (killed_) {
      errno = EIO;
      return false;
    }
    ++call_count_;
    if (kill_at_call > 0 && call_count_ >= kill_at_call) {
      killed_ = true;
      killed_in_this_call_ = true;
      errno = EIO;
      return false;
    }
    if (fail_errno != 0 && call_count_ >= fail_from && call_count_ < fail_from + fail_count) {
      errno = fail_errno;
      return false;
    }
    return true;
  }

  // Any of the writes may be lost, whatever their order. A lost range before a later write reads as zeros.
  void loseUnsyncedWrites(File& file) {
    std::string kept = file.synced_content;
    for (const Write& write : file.unsynced_writes) {
      if (randomBelow(3) == 0) {
        continue;
      }
      if (kept.size() < write.offset + write.data.size()) {
        kept.resize(write.offset + write.data.size(), '\0');
      }
      kept.replace(write.offset, write.data.size(), write.data);
    }
    file.content = kept;
    file.synced_content = kept;
    file.unsynced_writes.clear();
  }

  int randomBelow(int limit) {
    return static_cast<int>(random_() % static_cast<unsigned>(std::max(1, limit)));
  }

  std::mt19937 random_;
  std::map<std::string, std::shared_ptr<File>> files_;
  std::map<std::string, std::shared_ptr<File>> synced_files_;  // as of the latest sync of the folder
  std::map<int, OpenFile> open_files_;
  int last_descriptor_ = 2;
  int call_count_ = 0;
  int sync_count_ = 0;
  bool killed_ = false;
  bool killed_in_this_call_ = false;
};

}  // namespace delivery
