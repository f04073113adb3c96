// The file operations of the journal behind an interface, so that tests can make them fail, and a descriptor
// that closes itself.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace delivery {

// Each call returns the result of its system call and sets errno on failure.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual int open(const std::string& path, int flags);  // adds O_CLOEXEC; new files get mode 0644
  virtual ssize_t read(int fd, char* buffer, std::size_t size);
  virtual ssize_t write(int fd, const char* data, std::size_t size);
  virtual int truncate(int fd, off_t size);
  virtual off_t size(int fd);                       // in bytes; negative on failure
  virtual int sync(int fd);                         // the data and the metadata that is needed to read it
  virtual int syncFolder(const std::string& path);  // the names in this folder, which renames change
  virtual int rename(const std::string& from, const std::string& to);
  virtual int unlink(const std::string& path);
  virtual void close(int fd);

  // The operating system's files.
  static FileSystem& system();
};

// Owns a file descriptor, or none.
class FileDescriptor {
 public:
  // A negative `fd` means that there is no descriptor.
  FileDescriptor(FileSystem& files, int fd) : files_(&files), fd_(fd) {}
  ~FileDescriptor() { reset(); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;

  bool isOpen() const { return fd_ >= 0; }
  int get() const { return fd_; }
  void reset();  // closes the descriptor and preserves errno

 private:
  FileSystem* files_;
  int fd_;
};

// Writes all of `data`, in several calls if necessary. Returns false on failure, with the reason in errno; a
// part of the data may have been written.
bool writeAll(FileSystem& files, const FileDescriptor& file, std::string_view data);

struct FileContent {
  std::string data;
  int error = 0;  // errno of the read that failed after `data`; 0 if the end of the file was reached
};
// Reads from the current position to the end of the file, or up to the first read that fails.
FileContent readAll(FileSystem& files, const FileDescriptor& file);

}  // namespace delivery
