// The configuration of the sender, read from the JSON file that $GW_CONFIG names and from environment
// variables.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/settings.h"
#include "protocol/json_fields.h"

namespace delivery {

// Each member names the environment variable ($NAME) and the key of the file (`name`) that it is read from,
// the one that takes precedence first.
struct Configuration {
  std::string listen;     // $GW_LISTEN, `listen`: the address for clients, such as "10.0.0.4:6379"
  std::string discovery;  // `discovery`, $GW_DISCOVERY: the address of the discovery service
  std::string control;    // $GW_CONTROL, `control`: the address for operators; empty if there is none
  // $GW_STATE: the folder that holds the journal and the lock. It persists after the process has ended.
  std::string state_folder;
  // $TMPDIR, by default the state folder: holds the handover socket, so both processes of an upgrade must
  // have access to it.
  std::string scratch_folder;
  // $GW_PASSED_SOCKET: the descriptor of the listening socket for clients, if the platform opened it; empty
  // otherwise.
  std::optional<int> passed_socket;
  std::uint64_t seed = 0;         // `seed`, a number or up to 16 hexadecimal digits: seeds all random choices
  std::uint64_t disk_bytes = 0;   // `limits.disk_mb`
  std::int64_t sockets = 0;       // `limits.sockets`: how many descriptors this process may have open
  std::int64_t memory_bytes = 0;  // `limits.memory_mb`
  bool durable = false;           // `durable`: accepted messages survive a power cut
  // `known`: the endpoint list to start with, in discovery's form as JSON text; empty if there is none.
  // Parsed, it takes several times as much memory.
  std::string known_endpoints;
  Settings settings;  // `settings`, see protocol/settings_reader.h
};

// The content of the configuration file at the time of load(). The values that can be changed while the
// process runs are read one by one, so that an error in one of them leaves the values before it in force.
class ConfigurationFile {
 public:
  // Reads the file. Throws InvalidInput if $GW_CONFIG is not set, or if the file can't be read or does not
  // hold a JSON object.
  static ConfigurationFile load();

  // Each of these throws InvalidInput that names the field if a value is invalid or a required one is
  // missing.
  std::string discovery() const;
  std::int64_t sockets() const;
  std::int64_t memoryBytes() const;
  // Reads the whole configuration from the file and the environment.
  Configuration configuration() const;

 private:
  explicit ConfigurationFile(json content) : content_(std::move(content)) {}

  std::uint64_t seed() const;
  std::int64_t readLimit(const char* name, double default_value, double scale) const;

  json content_;
};

// Notices that the configuration file has been replaced or written.
class ConfigurationFileMonitor {
 public:
  // Whether the file that $GW_CONFIG names is another one than at the previous call, or has been written
  // since. True at the first call. False if there is no such file.
  bool hasChanged();

 private:
  struct Version {
    std::uint64_t device = 0;
    std::uint64_t inode = 0;
    std::int64_t size = 0;
    std::int64_t modified_at = 0;  // in nanoseconds, Unix time
  };
  std::optional<Version> version_;
};

}  // namespace delivery
