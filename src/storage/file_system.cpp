// File calls; see file_system.h.
#include "storage/file_system.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace delivery {

int FileSystem::open(const std::string& path, int flags) {
  return ::open(path.c_str(), flags | O_CLOEXEC, 0644);
}
ssize_t FileSystem::read(int fd, char* to, std::size_t size) {
  return ::read(fd, to, size);
}
ssize_t FileSystem::write(int fd, const char* from, std::size_t size) {
  return ::write(fd, from, size);
}
int FileSystem::truncate(int fd, off_t size) {
  return ::ftruncate(fd, size);
}

off_t FileSystem::size(int fd) {
  struct stat s {};
  return ::fstat(fd, &s) == 0 ? s.st_size : -1;
}

int FileSystem::sync(int fd) {
  return ::fdatasync(fd);
}

int FileSystem::syncFolder(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return -1;
  const int done = ::fsync(fd), why = errno;
  ::close(fd);
  errno = why;
  return done;
}

int FileSystem::rename(const std::string& from, const std::string& to) {
  return ::rename(from.c_str(), to.c_str());
}
int FileSystem::unlink(const std::string& path) {
  return ::unlink(path.c_str());
}
void FileSystem::close(int fd) {
  ::close(fd);
}

FileSystem& FileSystem::system() {
  static FileSystem files;
  return files;
}

}  // namespace delivery
