// The file calls of the journal behind an interface, so that tests can have them fail, and descriptors that
// close themselves.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace delivery {

// Each call returns what the system call returns and sets errno.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual int open(const std::string& path, int flags);  // closed on exec; new files get mode 0644
  virtual ssize_t read(int fd, char* to, std::size_t size);
  virtual ssize_t write(int fd, const char* from, std::size_t size);
  virtual int truncate(int fd, off_t size);
  virtual off_t size(int fd);  // in bytes; negative: error
  virtual int sync(int fd);    // the data, and of the metadata what is needed to read them
  virtual int syncFolder(const std::string& path);
  virtual int rename(const std::string& from, const std::string& to);
  virtual int unlink(const std::string& path);
  virtual void close(int fd);

  static FileSystem& system();
};

// Owns a descriptor, or none.
class FileDescriptor {
 public:
  FileDescriptor(FileSystem& files, int fd) : files_(&files), fd_(fd) {}  // fd negative: none
  ~FileDescriptor() { reset(); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;

  bool isOpen() const { return fd_ >= 0; }
  int get() const { return fd_; }
  void reset();  // closes it, and leaves errno as it was

 private:
  FileSystem* files_;
  int fd_;
};

// Writes all of `data`, in several calls if need be. False: some or none of it was written; see errno.
bool writeAll(FileSystem& files, const FileDescriptor& file, std::string_view data);

struct FileContent {
  std::string data;
  int error = 0;  // the errno of the call that failed behind `data`; 0: the file was read to its end
};
// Reads from the file's position on, as far as it can be read.
FileContent readAll(FileSystem& files, const FileDescriptor& file);

}  // namespace delivery
