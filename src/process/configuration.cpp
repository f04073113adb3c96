#include "process/configuration.h"

#include <sys/stat.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "common/log.h"
#include "protocol/settings_reader.h"

namespace delivery {
namespace {

constexpr double kDefaultSockets = 1024;
constexpr double kDefaultMemoryMegabytes = 64;
constexpr double kDefaultDiskMegabytes = 3;
constexpr double kBytesPerMegabyte = 1e6;
// Larger limits are reduced to this value, so that no sum of limits overflows.
constexpr double kMaxLimit = 1e15;
constexpr std::size_t kMaxSeedDigits = 16;
constexpr int kHexadecimalBase = 16;
constexpr std::size_t kMaxDescriptorDigits = 6;
constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

std::string environmentVariable(const char* name, const std::string& default_value) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0') {
    return default_value;
  }
  return value;
}

// Empty if the variable is not set or its value is not the number of a descriptor. The latter is logged.
std::optional<int> descriptorFromEnvironment(const char* name) {
  const std::string value = environmentVariable(name, "");
  if (value.empty()) {
    return std::nullopt;
  }
  if (value.size() > kMaxDescriptorDigits || value.find_first_not_of("0123456789") != std::string::npos) {
    logWarning("configuration", "invalid_descriptor").field("variable", name).field("value", value);
    return std::nullopt;
  }
  return std::stoi(value);
}

}  // namespace

ConfigurationFile ConfigurationFile::load() {
  const std::string path = environmentVariable("GW_CONFIG", "");
  if (path.empty()) {
    throw InvalidInput(InputProblem::missing, "GW_CONFIG", "GW_CONFIG is not set");
  }
  std::ifstream file(path);
  if (!file) {
    throw InvalidInput(InputProblem::malformed, "GW_CONFIG", "can't be read: " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  json content = json::parse(text.str(), nullptr, /*allow_exceptions=*/false);
  if (!content.is_object()) {
    throw InvalidInput(InputProblem::wrong_type, "GW_CONFIG", "not a JSON object: " + path);
  }
  return ConfigurationFile(std::move(content));
}

// The file takes precedence over the environment because it may have been replaced since the process started.
std::string ConfigurationFile::discovery() const {
  return readString(content_, "discovery", environmentVariable("GW_DISCOVERY", "").c_str());
}

std::int64_t ConfigurationFile::sockets() const {
  return readLimit("sockets", kDefaultSockets, 1);
}

std::int64_t ConfigurationFile::memoryBytes() const {
  return readLimit("memory_mb", kDefaultMemoryMegabytes, kBytesPerMegabyte);
}

std::int64_t ConfigurationFile::readLimit(const char* name, double default_value, double scale) const {
  const double value = readNumber(readOptionalObject(content_, "limits"), name, default_value) * scale;
  return static_cast<std::int64_t>(std::min(std::max(value, 0.0), kMaxLimit));
}

bool ConfigurationFileMonitor::hasChanged() {
  struct stat status {};
  if (::stat(environmentVariable("GW_CONFIG", "").c_str(), &status) != 0) {
    return false;
  }
  const std::int64_t modified_at = status.st_mtim.tv_sec * kNanosPerSecond + status.st_mtim.tv_nsec;
  const Version version{status.st_dev, status.st_ino, status.st_size, modified_at};
  const bool is_same = version_ && version_->device == version.device && version_->inode == version.inode &&
                       version_->size == version.size && version_->modified_at == version.modified_at;
  version_ = version;
  return !is_same;
}

std::uint64_t ConfigurationFile::seed() const {
  if (isAbsent(content_, "seed")) {
    return 0;
  }
  const json& value = requireField(content_, "seed");
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>();
  }
  const std::string digits = readString(content_, "seed");
  if (digits.empty() || digits.size() > kMaxSeedDigits ||
      digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    throw InvalidInput(InputProblem::malformed, "seed", "not a hexadecimal number: seed");
  }
  return std::stoull(digits, nullptr, kHexadecimalBase);
}

Configuration ConfigurationFile::configuration() const {
  Configuration configuration;
  configuration.listen = environmentVariable("GW_LISTEN", readString(content_, "listen", ""));
  configuration.discovery = discovery();
  configuration.control = environmentVariable("GW_CONTROL", readString(content_, "control", ""));
  configuration.state_folder = environmentVariable("GW_STATE", "");
  if (configuration.state_folder.empty()) {
    throw InvalidInput(InputProblem::missing, "GW_STATE", "GW_STATE is not set");
  }
  configuration.scratch_folder = environmentVariable("TMPDIR", configuration.state_folder);
  configuration.passed_socket = descriptorFromEnvironment("GW_PASSED_SOCKET");
  configuration.seed = seed();
  configuration.disk_bytes =
      static_cast<std::uint64_t>(readLimit("disk_mb", kDefaultDiskMegabytes, kBytesPerMegabyte));
  configuration.sockets = sockets();
  configuration.memory_bytes = memoryBytes();
  configuration.durable = readBoolean(content_, "durable", false);
  if (!isAbsent(content_, "known")) {
    configuration.known_endpoints = readObject(content_, "known").dump();
  }
  configuration.settings = readSettings(readObject(content_, "settings"));
  return configuration;
}

}  // namespace delivery
