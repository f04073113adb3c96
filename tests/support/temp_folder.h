// A temporary folder for one test.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace delivery::loopback {

// The destructor removes the folder, and the folder and the file that SenderProgram puts beside it.
class TempFolder {
 public:
  TempFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "delivery-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TempFolder() {
    for (const char* suffix : {"", "-tmp", "-config.json"}) {
      std::filesystem::remove_all(path_ + suffix);
    }
  }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace delivery::loopback
