#include "protocol/submit_reply.h"

namespace delivery {

std::string toRespLine(const SubmitReply& reply) {
  switch (reply.status) {
    case SubmitStatus::accepted:
      return "+OK";
    case SubmitStatus::busy:
      return reply.retry_after > 0 ? "-BUSY " + std::to_string(roundUpToMs(reply.retry_after)) : "-BUSY";
    case SubmitStatus::failed:
      return "-ERR given up";
    case SubmitStatus::unknown_class:
      return "-ERR unknown class";
    case SubmitStatus::unknown_destination:
      return "-ERR unknown destination";
    case SubmitStatus::duplicate:
      return "-ERR handed in twice";
  }
  return "-ERR internal";
}

bool isAcceptedOrBusy(const SubmitReply& reply) {
  return reply.status == SubmitStatus::accepted || reply.status == SubmitStatus::busy;
}

}  // namespace delivery
