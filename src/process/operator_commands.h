// The commands of the control address: READY, DRAIN and UNDRAIN, and their replies.
#pragma once

#include <functional>
#include <string>

namespace delivery {

// Whether this process would accept a message now, and the reason if it would not.
enum class Readiness {
  ready,
  stopping,                 // SIGTERM or SIGINT was received
  handing_over,             // a successor asked for the journal
  handed_over,              // a successor may lock the journal, or has locked it
  waiting_for_predecessor,  // another process owns the journal
  draining,                 // DRAIN was received
  no_endpoint_list,         // discovery has not answered yet, and no earlier list is known
};

// Executes one command line and returns the reply: one line that starts with OK or ERR, without a line end.
// `set_draining` is called for DRAIN and UNDRAIN. Both are rejected while this process does not serve
// clients.
std::string executeOperatorCommand(const std::string& line, Readiness readiness,
                                   const std::function<void(bool draining)>& set_draining);

}  // namespace delivery
