#include "heatherfork/detail/http/caller_mailbox.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

TEST_GROUP(CallerMailbox){};

TEST(CallerMailbox, RefusesOutputsBeyondLimitOfSlowCaller)
{
  constexpr int kSentTokens = 100000;
  CallerRegistry callers;
  const auto [caller, mailbox] = callers.Add();
  int accepted = 0;
  for (int n = 0; n < kSentTokens; ++n) {
    accepted += callers.Deliver(caller, SendTokens{ caller, n, "t" }) ? 1 : 0;
  }
  CHECK_EQUAL(500, accepted);
  CHECK(mailbox->IsOverrun());
  // After an overrun all later outputs are refused, even if the queue is no
  // longer full: an answer must not follow a gap in the stream.
  CHECK(mailbox->Pop(Duration(0)).has_value());
  CHECK_FALSE(callers.Deliver(caller, AnswerCaller{ caller }));
}

TEST(CallerMailbox, ReturnsOutputsInOrder)
{
  CallerMailbox mailbox;
  CHECK(mailbox.Push(SendTokens{ 1, 0, "a" }));
  CHECK(mailbox.Push(AnswerCaller{ 1 }));
  CHECK(std::holds_alternative<SendTokens>(*mailbox.Pop(Duration(0))));
  CHECK(std::holds_alternative<AnswerCaller>(*mailbox.Pop(Duration(0))));
  CHECK_FALSE(mailbox.Pop(Duration(0)).has_value());
  CHECK_FALSE(mailbox.IsOverrun());
}
