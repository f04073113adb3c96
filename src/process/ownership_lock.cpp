#include "process/ownership_lock.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace delivery {
namespace {

constexpr mode_t kLockFileMode = 0644;

struct flock wholeFileRange(short lock_type) {
  struct flock range {};
  range.l_type = lock_type;
  range.l_whence = SEEK_SET;
  return range;
}

}  // namespace

OwnershipLock::OwnershipLock(const std::string& state_folder) {
  const std::string path = state_folder + "/lock";
  descriptor_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockFileMode);
  if (descriptor_ < 0) {
    throw std::runtime_error("cannot open the lock file " + path + ": " + std::strerror(errno));
  }
}

OwnershipLock::~OwnershipLock() {
  ::close(descriptor_);
}

bool OwnershipLock::tryAcquire() {
  struct flock range = wholeFileRange(F_WRLCK);
  return ::fcntl(descriptor_, F_SETLK, &range) == 0;
}

void OwnershipLock::release() {
  struct flock range = wholeFileRange(F_UNLCK);
  ::fcntl(descriptor_, F_SETLK, &range);
}

pid_t OwnershipLock::holder() const {
  struct flock range = wholeFileRange(F_WRLCK);
  const bool query_succeeded = ::fcntl(descriptor_, F_GETLK, &range) == 0;
  if (!query_succeeded || range.l_type == F_UNLCK || range.l_pid <= 0) {
    return 0;
  }
  return range.l_pid;
}

}  // namespace delivery
