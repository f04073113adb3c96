// FileDescriptor, which closes its descriptor, and readAll() and writeAll(), which may take several calls.
#include "storage/file_system.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <cerrno>
#include <string>
#include <utility>
#include <vector>

#include "simulated_disk.h"

namespace delivery {
namespace {

// Records the descriptors that are closed, and sets errno like a close() that fails.
class FailingCloseFileSystem : public FileSystem {
 public:
  void close(int fd) override {
    closed.push_back(fd);
    errno = EIO;
  }
  std::vector<int> closed;
};

TEST(FileDescriptor, ClosesOnceAndPreservesErrno) {
  FailingCloseFileSystem files;
  {
    FileDescriptor first(files, 5);
    FileDescriptor second(std::move(first));
    EXPECT_TRUE(second.isOpen());
    EXPECT_EQ(5, second.get());
    errno = ENOSPC;
    second = FileDescriptor(files, 6);
    EXPECT_EQ(ENOSPC, errno);
    EXPECT_EQ(std::vector<int>{5}, files.closed);
  }
  EXPECT_EQ((std::vector<int>{5, 6}), files.closed);
  const FileDescriptor none(files, -1);
  EXPECT_FALSE(none.isOpen());
}

TEST(FileSystem, WritesAndReadsAllDataInSeveralCalls) {
  SimulatedDisk disk;
  disk.short_writes = true;
  const std::string data(200'000, 'x');
  const FileDescriptor out(disk, disk.open("file", O_CREAT));
  EXPECT_TRUE(writeAll(disk, out, data));
  EXPECT_EQ(data, disk.content("file"));
  const FileDescriptor in(disk, disk.open("file", 0));
  const FileContent content = readAll(disk, in);
  EXPECT_EQ(data, content.data);
  EXPECT_EQ(0, content.error);
}

TEST(FileSystem, AFailedReadReportsItsErrorAndKeepsTheDataReadBefore) {
  SimulatedDisk disk;
  disk.setContent("file", std::string(200'000, 'x'));
  const FileDescriptor file(disk, disk.open("file", 0));
  disk.fail_errno = EIO;
  disk.fail_from = 3;  // call 1 opens the file, so call 3 is the second read
  disk.fail_count = 1'000;
  const FileContent content = readAll(disk, file);
  EXPECT_EQ(EIO, content.error);
  EXPECT_GT(content.data.size(), 0u);
  EXPECT_LT(content.data.size(), 200'000u);
}

}  // namespace
}  // namespace delivery
