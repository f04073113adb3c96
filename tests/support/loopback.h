// Includes all helpers for tests over loopback sockets: scripted HTTP servers, a discovery server, clients,
// and the real program as a child process. Each has its own header in this folder. All ports are ephemeral.
#pragma once

#include <nlohmann/json.hpp>

#include "support/discovery_server.h"
#include "support/http_server.h"
#include "support/listener.h"
#include "support/sender_client.h"
#include "support/sender_program.h"
#include "support/temp_folder.h"
#include "support/wait.h"

namespace delivery::loopback {

using nlohmann::json;
using namespace std::chrono_literals;

}  // namespace delivery::loopback
