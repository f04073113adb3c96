// The lock whose holder is the process that owns the journal.
#pragma once

#include <sys/types.h>

#include <string>

namespace delivery {

// An exclusive POSIX lock on the file `lock` in the state folder. The kernel releases the lock when the
// process that holds it exits or is killed, so a lock file that was left behind never prevents a start. POSIX
// locks belong to the process: two objects in one process do not exclude each other.
class OwnershipLock {
 public:
  // Opens or creates the lock file. Throws std::runtime_error that names the path if that fails.
  explicit OwnershipLock(const std::string& state_folder);
  ~OwnershipLock();  // releases the lock
  OwnershipLock(const OwnershipLock&) = delete;
  OwnershipLock& operator=(const OwnershipLock&) = delete;

  // Does not block. Returns false if another process holds the lock.
  bool tryAcquire();
  void release();
  // The id of another process that holds the lock; 0 if no other process holds it, or if the holder is not
  // visible in this PID namespace.
  pid_t holder() const;

 private:
  int descriptor_ = -1;
};

}  // namespace delivery
