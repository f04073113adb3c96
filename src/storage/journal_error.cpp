#include "storage/journal_error.h"

namespace delivery {

const char* toString(FileOperation operation) {
  switch (operation) {
    case FileOperation::open:
      return "open";
    case FileOperation::write:
      return "write";
    case FileOperation::sync:
      return "sync";
    case FileOperation::rename:
      return "rename";
  }
  return "unknown";
}

JournalError::JournalError(FileOperation operation, const std::string& path, int error_number)
    : std::system_error(error_number, std::generic_category(), "journal: " + path),
      operation_(operation),
      path_(path) {}

}  // namespace delivery
