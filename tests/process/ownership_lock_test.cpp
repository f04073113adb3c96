// Tests of the ownership lock between two real processes.
#include "process/ownership_lock.h"

#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

TEST(OwnershipLock, IsExclusiveBetweenProcessesAndEndsWithItsHolder) {
  TempFolder folder;
  int ready[2], exit_pipe[2];
  ASSERT_EQ(0, ::pipe(ready));
  ASSERT_EQ(0, ::pipe(exit_pipe));
  const pid_t child = ::fork();
  if (child == 0) {
    OwnershipLock lock(folder.path());
    const char acquired = lock.tryAcquire() ? 'y' : 'n';
    (void)!::write(ready[1], &acquired, 1);
    // Keeps the lock until it is killed: nothing is written to this pipe.
    char unused = 0;
    (void)!::read(exit_pipe[0], &unused, 1);
    ::_exit(0);
  }
  char acquired = 0;
  ASSERT_EQ(1, ::read(ready[0], &acquired, 1));
  EXPECT_EQ('y', acquired);
  OwnershipLock lock(folder.path());
  EXPECT_FALSE(lock.tryAcquire());
  EXPECT_EQ(child, lock.holder());
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  EXPECT_EQ(0, lock.holder());
  EXPECT_TRUE(lock.tryAcquire());
  for (int fd : {ready[0], ready[1], exit_pipe[0], exit_pipe[1]}) {
    ::close(fd);
  }
}

TEST(OwnershipLock, AMissingFolderIsAnErrorThatNamesThePath) {
  try {
    const OwnershipLock lock("/nonexistent/folder");
    FAIL();
  } catch (const std::runtime_error& error) {
    EXPECT_EQ(std::string("cannot open the lock file /nonexistent/folder/lock: No such file or directory"),
              error.what());
  }
}

}  // namespace
}  // namespace delivery
