// The file calls of the journal, as the system has them (errno and all), so that tests can have
// them fail.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace delivery {

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual int open(const std::string& path, int flags);
  virtual ssize_t read(int fd, char* to, std::size_t size);
  virtual ssize_t write(int fd, const char* from, std::size_t size);
  virtual int truncate(int fd, off_t size);
  virtual off_t size(int fd);  // negative: error
  virtual int sync(int fd);    // the data, and what is needed to read it
  virtual int syncFolder(const std::string& path);
  virtual int rename(const std::string& from, const std::string& to);
  virtual int unlink(const std::string& path);
  virtual void close(int fd);

  static FileSystem& system();
};

}  // namespace delivery
