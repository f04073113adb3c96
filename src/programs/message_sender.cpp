// The real sender: reads its configuration, wires the parts together, and handles signals.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "process/sender_process.h"
#include "protocol/settings_reader.h"

using namespace delivery;

namespace {

std::string variable(const char* name, const std::string& otherwise) {
  const char* v = std::getenv(name);
  return v && *v ? v : otherwise;
}

// -1: not set, or no descriptor's number.
int descriptorIn(const char* name) {
  const std::string v = variable(name, "");
  if (v.empty())
    return -1;
  if (v.size() <= 6 && v.find_first_not_of("0123456789") == std::string::npos)
    return std::stoi(v);
  std::cerr << name << " is not a descriptor's number: " << v << '\n';
  return -1;
}

std::uint64_t seedOf(const json& o) {
  if (isAbsent(o, "seed"))
    return 0;
  const json& s = requireField(o, "seed");
  if (s.is_number_unsigned())
    return s.get<std::uint64_t>();
  const std::string hex = readString(o, "seed");
  if (hex.empty() || hex.size() > 16 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    throw InvalidInput(InputProblem::malformed, "seed", "not a hexadecimal number: seed");
  return std::stoull(hex, nullptr, 16);
}

json readFile() {
  const std::string path = variable("GW_CONFIG", "");
  if (path.empty())
    throw InvalidInput(InputProblem::missing, "GW_CONFIG", "GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file)
    throw InvalidInput(InputProblem::malformed, "GW_CONFIG", "can't be read: " + path);
  std::stringstream all;
  all << file.rdbuf();
  json o = json::parse(all.str(), nullptr, false);
  if (!o.is_object())
    throw InvalidInput(InputProblem::wrong_type, "GW_CONFIG", "not a JSON object: " + path);
  return o;
}

// The file's address first: it may have been replaced since the environment was made.
std::string discoveryOf(const json& o) {
  return readString(o, "discovery", variable("GW_DISCOVERY", "").c_str());
}

// A figure of `limits`, `times` a unit, within what can be reckoned with.
std::int64_t limitOf(const json& o, const char* name, double otherwise, double times) {
  const double v = readNumber(readOptionalObject(o, "limits"), name, otherwise) * times;
  return static_cast<std::int64_t>(std::min(std::max(v, 0.0), 1e15));
}
std::int64_t socketsOf(const json& o) {
  return limitOf(o, "sockets", 1024, 1);
}
std::int64_t memoryOf(const json& o) {
  return limitOf(o, "memory_mb", 64, 1e6);
}

Config readConfig() {
  const json o = readFile();
  Config c;
  c.listen = variable("GW_LISTEN", readString(o, "listen", ""));
  c.discovery = discoveryOf(o);
  c.control = variable("GW_CONTROL", readString(o, "control", ""));
  c.state = variable("GW_STATE", "");
  if (c.state.empty())
    throw InvalidInput(InputProblem::missing, "GW_STATE", "GW_STATE is not set");
  c.scratch = variable("TMPDIR", c.state);
  c.passed_socket = descriptorIn("GW_PASSED_SOCKET");
  c.seed = seedOf(o);
  c.disk_bytes = static_cast<std::uint64_t>(limitOf(o, "disk_mb", 3, 1e6));
  c.sockets = socketsOf(o);
  c.memory_bytes = memoryOf(o);
  c.durable = readBoolean(o, "durable", false);
  if (!isAbsent(o, "known"))
    c.known = readObject(o, "known");
  c.settings = readSettings(readObject(o, "settings"));
  return c;
}

void run(Config c) {
  boost::asio::io_context io(1);
  SenderProcess service(io, std::move(c), [&] { io.stop(); });
  boost::asio::signal_set stop(io, SIGTERM, SIGINT), reload(io, SIGHUP);
  stop.async_wait([&](const boost::system::error_code& e, int) {
    if (!e)
      service.stop();
  });
  std::function<void()> awaitReload = [&] {
    reload.async_wait([&](const boost::system::error_code& e, int) {
      if (e)
        return;
      awaitReload();
      try {
        const json file = readFile();
        const std::string named = discoveryOf(file);
        if (named != service.discovery()) {
          service.followDiscovery(named);
          std::cerr << "discovery is now at " << named << '\n';
        }
        service.limit(socketsOf(file), memoryOf(file));
      } catch (const std::exception& bad_file) {  // the one in force stays
        std::cerr << "reload: " << bad_file.what() << '\n';
      }
    });
  };
  awaitReload();
  io.run();
}

}  // namespace

int main() {
  try {
    run(readConfig());
  } catch (const std::exception& e) {
    std::cerr << "message_sender: " << e.what() << '\n';
    return 2;
  }
  return 0;
}
