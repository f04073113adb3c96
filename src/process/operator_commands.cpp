#include "process/operator_commands.h"

#include <stdexcept>

#include "common/log.h"

namespace delivery {
namespace {

// The tools of operators compare these texts, so they must not change. docs/on-call.md lists them.
std::string errorReply(Readiness readiness) {
  switch (readiness) {
    case Readiness::stopping:
      return "ERR stopping";
    case Readiness::handing_over:
      return "ERR handing over to the next process";
    case Readiness::handed_over:
      return "ERR handed over to the next process";
    case Readiness::waiting_for_predecessor:
      return "ERR waiting for the process before to hand over";
    case Readiness::draining:
      return "ERR draining";
    case Readiness::no_endpoint_list:
      return "ERR no list of endpoints yet";
    case Readiness::ready:
      break;
  }
  throw std::logic_error("a process that is ready has no error reply");
}

bool servesClients(Readiness readiness) {
  return readiness == Readiness::ready || readiness == Readiness::draining ||
         readiness == Readiness::no_endpoint_list;
}

}  // namespace

std::string executeOperatorCommand(const std::string& line, Readiness readiness,
                                   const std::function<void(bool draining)>& set_draining) {
  if (line == "READY") {
    return readiness == Readiness::ready ? "OK ready" : errorReply(readiness);
  }
  const bool is_drain = line == "DRAIN";
  if (!is_drain && line != "UNDRAIN") {
    return "ERR unknown call: READY, DRAIN or UNDRAIN";
  }
  if (!servesClients(readiness)) {
    return errorReply(readiness);
  }
  logInfo("control", "operator_command").field("command", line);
  set_draining(is_drain);
  return is_drain ? "OK draining" : "OK serving";
}

}  // namespace delivery
