// Tests of the replies to operator commands. The tools of operators compare them byte for byte.
#include "process/operator_commands.h"

#include <gtest/gtest.h>

#include <vector>

namespace delivery {
namespace {

struct Execution {
  std::string reply;
  std::vector<bool> drain_changes;  // the argument of each call of `set_draining`
};

Execution execute(const std::string& line, Readiness readiness) {
  Execution execution;
  execution.reply = executeOperatorCommand(
      line, readiness, [&](bool draining) { execution.drain_changes.push_back(draining); });
  return execution;
}

TEST(OperatorCommands, ReadyIsAnsweredWithTheReasonIfTheProcessIsNotReady) {
  EXPECT_EQ("OK ready", execute("READY", Readiness::ready).reply);
  EXPECT_EQ("ERR stopping", execute("READY", Readiness::stopping).reply);
  EXPECT_EQ("ERR handing over to the next process", execute("READY", Readiness::handing_over).reply);
  EXPECT_EQ("ERR handed over to the next process", execute("READY", Readiness::handed_over).reply);
  EXPECT_EQ("ERR waiting for the process before to hand over",
            execute("READY", Readiness::waiting_for_predecessor).reply);
  EXPECT_EQ("ERR draining", execute("READY", Readiness::draining).reply);
  EXPECT_EQ("ERR no list of endpoints yet", execute("READY", Readiness::no_endpoint_list).reply);
  EXPECT_TRUE(execute("READY", Readiness::ready).drain_changes.empty());
}

TEST(OperatorCommands, DrainAndUndrainAreExecutedWhileClientsAreServed) {
  for (const Readiness readiness : {Readiness::ready, Readiness::draining, Readiness::no_endpoint_list}) {
    const Execution drain = execute("DRAIN", readiness);
    EXPECT_EQ("OK draining", drain.reply);
    EXPECT_EQ(std::vector<bool>{true}, drain.drain_changes);
    const Execution undrain = execute("UNDRAIN", readiness);
    EXPECT_EQ("OK serving", undrain.reply);
    EXPECT_EQ(std::vector<bool>{false}, undrain.drain_changes);
  }
}

TEST(OperatorCommands, DrainAndUndrainAreRejectedWhileClientsAreNotServed) {
  for (const Readiness readiness : {Readiness::stopping, Readiness::handing_over, Readiness::handed_over,
                                    Readiness::waiting_for_predecessor}) {
    for (const char* line : {"DRAIN", "UNDRAIN"}) {
      const Execution execution = execute(line, readiness);
      EXPECT_EQ(execute("READY", readiness).reply, execution.reply);
      EXPECT_EQ(0U, execution.reply.find("ERR "));
      EXPECT_TRUE(execution.drain_changes.empty());
    }
  }
}

TEST(OperatorCommands, UnknownCommandsAreRejected) {
  for (const char* line : {"", "ready", "READY ", "SHUTDOWN"}) {
    for (const Readiness readiness : {Readiness::ready, Readiness::stopping}) {
      const Execution execution = execute(line, readiness);
      EXPECT_EQ("ERR unknown call: READY, DRAIN or UNDRAIN", execution.reply);
      EXPECT_TRUE(execution.drain_changes.empty());
    }
  }
}

}  // namespace
}  // namespace delivery
