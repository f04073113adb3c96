// The commands of the control address: READY, DRAIN and UNDRAIN, and their replies.
#pragma once

#include <functional>
#include <string>

namespace delivery {

// Whether this process would accept a message now, and if not, why not.
enum class Readiness {
  ready,
  stopping,                 // SIGTERM or SIGINT was received
  handing_over,             // a successor asked for the journal
  handed_over,              // a successor may take the journal, or has it
  waiting_for_predecessor,  // another process owns the journal
  draining,                 // DRAIN was received
  no_endpoint_list,         // discovery has not answered yet, and no list is known from before
};

// Carries out one line and gives the reply line, which starts with OK or ERR, without its end. `set_draining`
// is called for DRAIN and UNDRAIN, which are refused while this process does not serve clients.
std::string executeOperatorCommand(const std::string& line, Readiness readiness,
                                   const std::function<void(bool draining)>& set_draining);

}  // namespace delivery
