// The exception for a failed file operation of the journal.
#pragma once

#include <string>
#include <system_error>

namespace delivery {

enum class FileOperation { open, write, sync, rename };

// The name as it appears in the log.
const char* toString(FileOperation operation);

// Carries the operation, the path and errno, which is the value of code().
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
