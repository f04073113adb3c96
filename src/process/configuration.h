// The configuration of the sender: a JSON file that $GW_CONFIG names, and environment variables.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/settings.h"
#include "protocol/json_fields.h"

namespace delivery {

struct Configuration {
  std::string listen;     // address for clients, "10.0.0.4:6379": $GW_LISTEN, or `listen`
  std::string discovery;  // address of the discovery service: `discovery`, or $GW_DISCOVERY
  std::string control;    // address for operators: $GW_CONTROL, or `control`; empty: there is none
  // Folder that outlasts the process and holds journal and lock: $GW_STATE.
  std::string state_folder;
  // Folder that both processes of an upgrade see and that holds the handover socket: $TMPDIR, or the state
  // folder.
  std::string scratch_folder;
  // Descriptor of the clients' listening socket where the platform holds it: $GW_PASSED_SOCKET.
  std::optional<int> passed_socket;
  std::uint64_t seed = 0;         // of all random choices: `seed`, a number or up to 16 hexadecimal digits
  std::uint64_t disk_bytes = 0;   // `limits.disk_mb`
  std::int64_t sockets = 0;       // descriptors that this process may have open: `limits.sockets`
  std::int64_t memory_bytes = 0;  // `limits.memory_mb`
  bool durable = false;           // accepted messages survive a power cut: `durable`
  json known_endpoints;  // the endpoint list to start with, in discovery's form: `known`; may be null
  Settings settings;     // `settings`, see protocol/settings_reader.h
};

// The configuration file as it is now. What can be changed while the process runs is read from it one by one,
// so that an error in one part leaves the parts before it in force.
class ConfigurationFile {
 public:
  // Reads the file. Throws InvalidInput if $GW_CONFIG is not set or names no readable file with a JSON
  // object.
  static ConfigurationFile load();

  // Each throws InvalidInput that names the field.
  std::string discovery() const;
  std::int64_t sockets() const;
  std::int64_t memoryBytes() const;
  // Everything, with the environment.
  Configuration configuration() const;

 private:
  explicit ConfigurationFile(json content) : content_(std::move(content)) {}

  std::uint64_t seed() const;
  std::int64_t limit(const char* name, double default_value, double unit) const;

  json content_;
};

}  // namespace delivery
