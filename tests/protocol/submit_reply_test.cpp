// Tests the replies to a submitted message.
#include "protocol/submit_reply.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

TEST(SubmitReply, EachStatusHasItsReplyLine) {
  EXPECT_EQ("+OK", toRespLine({SubmitStatus::accepted}));
  EXPECT_EQ("-ERR given up", toRespLine({SubmitStatus::failed}));
  EXPECT_EQ("-ERR unknown class", toRespLine({SubmitStatus::unknown_class}));
  EXPECT_EQ("-ERR unknown destination", toRespLine({SubmitStatus::unknown_destination}));
  EXPECT_EQ("-ERR handed in twice", toRespLine({SubmitStatus::duplicate}));
}

TEST(SubmitReply, BusyStatesThePauseInMillisecondsRoundedUp) {
  EXPECT_EQ("-BUSY", toRespLine({SubmitStatus::busy}));
  EXPECT_EQ("-BUSY 1", toRespLine({SubmitStatus::busy, 1}));
  EXPECT_EQ("-BUSY 250", toRespLine({SubmitStatus::busy, 250'000}));
  EXPECT_EQ("-BUSY 251", toRespLine({SubmitStatus::busy, 250'001}));
}

TEST(SubmitReply, ErrorsAreNeitherAcceptedNorBusy) {
  EXPECT_TRUE(isAcceptedOrBusy({SubmitStatus::accepted}));
  EXPECT_TRUE(isAcceptedOrBusy({SubmitStatus::busy, 1}));
  for (const SubmitStatus status : {SubmitStatus::failed, SubmitStatus::unknown_class,
                                    SubmitStatus::unknown_destination, SubmitStatus::duplicate}) {
    EXPECT_FALSE(isAcceptedOrBusy({status})) << toRespLine({status});
  }
}

}  // namespace
}  // namespace delivery
