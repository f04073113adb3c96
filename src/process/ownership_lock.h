// The lock that says which process owns the journal.
#pragma once

#include <sys/types.h>

#include <string>

namespace delivery {

// An exclusive POSIX lock on the file `lock` in the state folder. The kernel releases it when its process
// ends, however that ends, so that a file left behind never stops a start. POSIX locks belong to the process:
// two objects in one process do not exclude each other.
class OwnershipLock {
 public:
  // Opens or creates the file; throws std::runtime_error that names the path if that fails.
  explicit OwnershipLock(const std::string& state_folder);
  ~OwnershipLock();  // releases it
  OwnershipLock(const OwnershipLock&) = delete;
  OwnershipLock& operator=(const OwnershipLock&) = delete;

  // Does not block. False: another process holds it.
  bool tryAcquire();
  void release();
  // Another process that holds it; 0 if there is none, or none that can be seen from this PID namespace.
  pid_t holder() const;

 private:
  int descriptor_ = -1;
};

}  // namespace delivery
