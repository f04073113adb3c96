#include "storage/file_system.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <utility>

namespace delivery {
namespace {

constexpr mode_t kNewFileMode = 0644;
constexpr std::size_t kReadBufferBytes = 65536;

}  // namespace

int FileSystem::open(const std::string& path, int flags) {
  return ::open(path.c_str(), flags | O_CLOEXEC, kNewFileMode);
}

ssize_t FileSystem::read(int fd, char* buffer, std::size_t size) {
  return ::read(fd, buffer, size);
}

ssize_t FileSystem::write(int fd, const char* data, std::size_t size) {
  return ::write(fd, data, size);
}

int FileSystem::truncate(int fd, off_t size) {
  return ::ftruncate(fd, size);
}

off_t FileSystem::size(int fd) {
  struct stat status {};
  return ::fstat(fd, &status) == 0 ? status.st_size : -1;
}

int FileSystem::sync(int fd) {
  return ::fdatasync(fd);
}

int FileSystem::syncFolder(const std::string& path) {
  const FileDescriptor folder(*this, ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return folder.isOpen() ? ::fsync(folder.get()) : -1;
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

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : files_(other.files_), fd_(std::exchange(other.fd_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this == &other) {
    return *this;
  }
  reset();
  files_ = other.files_;
  fd_ = std::exchange(other.fd_, -1);
  return *this;
}

void FileDescriptor::reset() {
  if (fd_ < 0) {
    return;
  }
  const int saved_errno = errno;
  files_->close(fd_);
  fd_ = -1;
  errno = saved_errno;
}

bool writeAll(FileSystem& files, const FileDescriptor& file, std::string_view data) {
  while (!data.empty()) {
    const ssize_t written = files.write(file.get(), data.data(), data.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    data.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

FileContent readAll(FileSystem& files, const FileDescriptor& file) {
  FileContent content;
  std::string buffer(kReadBufferBytes, '\0');
  for (;;) {
    const ssize_t bytes_read = files.read(file.get(), buffer.data(), buffer.size());
    if (bytes_read < 0 && errno == EINTR) {
      continue;
    }
    if (bytes_read < 0) {
      content.error = errno;
    }
    if (bytes_read <= 0) {
      return content;
    }
    content.data.append(buffer, 0, static_cast<std::size_t>(bytes_read));
  }
}

}  // namespace delivery
