// A file call of the journal that failed.
#pragma once

#include <string>
#include <system_error>

namespace delivery {

enum class FileOperation { open, write, sync, rename };

const char* toString(FileOperation operation);

class JournalError : public std::system_error {
 public:
  JournalError(FileOperation operation, const std::string& path, int error_number);

  FileOperation operation() const { return operation_; }
  const std::string& path() const { return path_; }

 private:
  FileOperation operation_;
  std::string path_;
};

}  // namespace delivery
