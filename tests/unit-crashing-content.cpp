#include "heatherfork/detail/relay/crashing_content.h"
#include "single_relay_node.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using detail::ContentId;
using detail::CrashingContent;

namespace {

constexpr ContentId kFirst = 1;
constexpr ContentId kDeadly = 2;

/// One step of a history of content.
struct Step
{
  enum class Kind
  {
    kCrash,
    kSound,
    kOtherNodeRefuses,
  };
  Kind mKind;
  int mAtMs;
  std::vector<ContentId> mContents;
  std::uint64_t mCrash = 0;
};

void
Apply(CrashingContent& aContent, const Step& aStep)
{
  const Instant now = kStart + Milliseconds(aStep.mAtMs);
  if (aStep.mKind == Step::Kind::kCrash) {
    aContent.OnCrash(now, aStep.mCrash, aStep.mContents);
    return;
  }
  for (const ContentId content : aStep.mContents) {
    if (aStep.mKind == Step::Kind::kSound) {
      aContent.OnSound(content);
    } else {
      aContent.OnRefused(now, { content, Milliseconds(60000) });
    }
  }
}

/// Ends the call by a crash of its replica.
void
Crash(SingleRelayNode& aNode, const StartCall& aCall)
{
  RelayCallEnded ended;
  ended.mCall = aCall.mCall;
  ended.mResult = RelayResult::kBroken;
  ended.mIsConnectionLost = true;
  aNode.Step(ended);
  aNode.Step(ServerChecked{ aCall.mServer, true });
}

/// All replicas start again, some time after the last event.
void
RestartReplicas(SingleRelayNode& aNode, std::int64_t aStartedAt)
{
  Replicas replicas = SampleReplicas();
  for (Replica& replica : replicas) {
    replica.mStartedAt = aStartedAt;
  }
  aNode.Step(ReplicasRead{ replicas }, Milliseconds(5000));
  aNode.Step(TimerFired{});
}

/// The crashes that the latest event has shown.
int
CountCrashes(const SingleRelayNode& aNode)
{
  int count = 0;
  for (const RelayEffect& effect : aNode.mLastEffects) {
    const auto* entry = std::get_if<RelayLogEntry>(&effect);
    count += entry != nullptr && entry->mEvent == "replica-crashed";
  }
  return count;
}

const ContentReport*
SentReport(const SingleRelayNode& aNode)
{
  const auto* sent = aNode.Find<SendToPeer>();
  return sent == nullptr ? nullptr
                         : std::get_if<ContentReport>(&sent->mMessage);
}

} // namespace

TEST_GROUP(CrashingContent){};

TEST(CrashingContent, RefusesContentOfSeveralCrashesWithoutAnswer)
{
  using enum Step::Kind;
  struct Row
  {
    const char* mName;
    std::vector<Step> mSteps;
    bool mIsFirstRefused;
    bool mIsDeadlyRefused;
  };
  const std::vector<ContentId> both{ kFirst, kDeadly };
  const Row kRows[] = {
    { "two crashes",
      { { kCrash, 0, both, 1 }, { kCrash, 500, both, 2 } },
      false,
      false },
    { "three crashes",
      { { kCrash, 0, { kDeadly }, 1 },
        { kCrash, 500, { kDeadly }, 2 },
        { kCrash, 900, { kDeadly }, 3 } },
      false,
      true },
    { "one crash, reported by three nodes",
      { { kCrash, 0, both, 1 },
        { kCrash, 500, both, 1 },
        { kCrash, 900, both, 1 } },
      false,
      false },
    { "many replicas fail at one moment",
      { { kCrash, 0, both, 1 },
        { kCrash, 10, both, 2 },
        { kCrash, 20, both, 3 },
        { kCrash, 30, both, 4 } },
      false,
      false },
    { "sound requests share the first part",
      { { kCrash, 0, both, 1 },
        { kSound, 100, { kFirst } },
        { kCrash, 500, both, 2 },
        { kCrash, 900, both, 3 } },
      false,
      true },
    { "the first part was answered before",
      { { kSound, 0, { kFirst } },
        { kCrash, 100, both, 1 },
        { kCrash, 500, both, 2 },
        { kCrash, 900, both, 3 } },
      false,
      true },
    { "a part that was sound crashes each replica",
      { { kSound, 0, { kDeadly } },
        { kCrash, 100, { kDeadly }, 1 },
        { kCrash, 500, { kDeadly }, 2 },
        { kCrash, 900, { kDeadly }, 3 },
        { kCrash, 1300, { kDeadly }, 4 },
        { kCrash, 1700, { kDeadly }, 5 } },
      false,
      true },
    { "refused by another node",
      { { kOtherNodeRefuses, 0, { kDeadly } } },
      false,
      true },
    { "refused by another node, but known to be sound",
      { { kSound, 0, { kFirst } }, { kOtherNodeRefuses, 10, { kFirst } } },
      false,
      false },
    { "answered before, refused by another node after one crash",
      { { kSound, 0, { kFirst } },
        { kCrash, 100, both, 1 },
        { kOtherNodeRefuses, 110, both } },
      false,
      true },
    { "answered before, refused by another node after three crashes",
      { { kSound, 0, { kFirst } },
        { kCrash, 100, both, 1 },
        { kCrash, 500, both, 2 },
        { kCrash, 900, both, 3 },
        { kOtherNodeRefuses, 910, both } },
      true,
      true },
    { "answered after a refusal",
      { { kOtherNodeRefuses, 0, { kDeadly } }, { kSound, 10, { kDeadly } } },
      false,
      false },
  };
  for (const Row& row : kRows) {
    CrashingContent content;
    for (const Step& step : row.mSteps) {
      Apply(content, step);
    }
    const Instant now = kStart + Milliseconds(2000);
    CHECK_EQUAL_TEXT(row.mIsFirstRefused,
                     content.RefusedFor(now, kFirst).has_value(),
                     row.mName);
    CHECK_EQUAL_TEXT(row.mIsDeadlyRefused,
                     content.RefusedFor(now, kDeadly).has_value(),
                     row.mName);
  }
}

TEST(CrashingContent, RefusalEndsWithItsTime)
{
  CrashingContent content;
  content.OnRefused(kStart, { kDeadly, Milliseconds(60000) });
  CHECK_EQUAL(1U, content.AllRefused(kStart).size());
  const Instant after = kStart + Milliseconds(60000);
  CHECK_FALSE(content.RefusedFor(after, kDeadly).has_value());
  CHECK(content.AllRefused(after).empty());
}

// Thousands of requests run at the crashes of a large fleet.
TEST(CrashingContent, RefusedContentOutlastsManySuspects)
{
  CrashingContent content;
  content.OnRefused(kStart, { kDeadly, Milliseconds(600000) });
  for (std::uint64_t n = 1; n <= 20000; ++n) {
    content.OnCrash(kStart + Milliseconds(1), n, { 100 + n });
  }
  CHECK(content.RefusedFor(kStart + Milliseconds(2), kDeadly).has_value());
}

// Guards against crashes that the check misses as the replica has restarted. A
// lost connection alone is no crash.
TEST(CrashingContent, OnlyReplicasThatEndedCountAsCrashed)
{
  enum class Evidence
  {
    kNone,
    kDown,
    kStartedAgain,
    kGone,
    kLeft,      ///< Its entry says that it leaves, and then goes.
    kLateEntry, ///< Started again long after the loss.
  };
  struct Row
  {
    Evidence mEvidence;
    bool mIsCrash;
  };
  const Row kRows[] = {
    { Evidence::kNone, false },        { Evidence::kDown, true },
    { Evidence::kStartedAgain, true }, { Evidence::kGone, true },
    { Evidence::kLeft, false },        { Evidence::kLateEntry, false },
  };
  for (const Row& row : kRows) {
    SingleRelayNode node;
    Replicas replicas = SampleReplicas();
    for (int crash = 0; crash < 3; ++crash) {
      node.SendRequest("/once/x");
      const StartCall call = *node.LatestCall();
      CHECK(node.Find<StartCall>() != nullptr);
      RelayCallEnded ended;
      ended.mCall = call.mCall;
      ended.mResult = RelayResult::kBroken;
      ended.mIsConnectionLost = true;
      node.Step(ended);
      CHECK(node.Find<CheckServer>() != nullptr);
      const bool isDown = row.mEvidence == Evidence::kDown;
      node.Step(ServerChecked{ call.mServer, isDown });
      const auto it = std::find_if(
        replicas.begin(), replicas.end(), [&](const Replica& aReplica) {
          return aReplica.mName == call.mServer;
        });
      CHECK(it != replicas.end());
      if (row.mEvidence == Evidence::kLeft) {
        it->mLeaving = true;
        node.Step(ReplicasRead{ replicas });
      }
      if (row.mEvidence == Evidence::kLateEntry) {
        node.Step(TimerFired{}, Milliseconds(11000));
      }
      if (row.mEvidence != Evidence::kNone) {
        it->mName.mValue += "-";
        it->mLeaving = false;
        it->mStartedAt += 1;
        if (row.mEvidence == Evidence::kStartedAgain) {
          it->mName.mValue.pop_back();
        }
        std::sort(replicas.begin(), replicas.end());
      }
      node.Step(ReplicasRead{ replicas }, Milliseconds(2000));
      node.Step(TimerFired{});
    }
    node.SendRequest("/once/x");
    const auto* refused = node.Find<RefuseCaller>();
    CHECK_EQUAL(row.mIsCrash, refused != nullptr);
    if (refused != nullptr) {
      CHECK(refused->mError.mCode == ErrorCode::kCrashingContent);
      CHECK(refused->mRetryAfter > Duration{});
    }
  }
}

TEST(CrashingContent, AnotherReplicaAtTheAddressShowsACrash)
{
  for (const bool isReplaced : { false, true }) {
    SingleRelayNode node;
    node.Step(ReplicasRead{ { MakeReplica("s1", "desk", Role::kPlain) } });
    node.SendRequest("/once/x");
    RelayCallEnded ended;
    ended.mCall = node.LatestCall()->mCall;
    ended.mResult = RelayResult::kBroken;
    ended.mIsConnectionLost = true;
    node.Step(ended);
    node.Step(ServerChecked{ ServerName{ "s1" }, false });
    CHECK_EQUAL(0, CountCrashes(node));
    node.Step(TimerFired{}, Milliseconds(1000));
    node.SendRequest("/once/x");
    CHECK(node.Find<StartCall>() != nullptr);
    node.EndLatestCall(
      isReplaced ? RelayResult::kWrongReplica : RelayResult::kRanFailed, 421);
    CHECK_EQUAL(isReplaced ? 1 : 0, CountCrashes(node));
  }
}

// An answer after the loss shows that the content is sound.
TEST(CrashingContent, AnswerBeforeTheEvidenceClearsContent)
{
  for (const bool isAnswered : { false, true }) {
    SingleRelayNode node;
    Replicas replicas = SampleReplicas();
    node.SendRequest("/once/x");
    const ServerName lost = node.LatestCall()->mServer;
    RelayCallEnded ended;
    ended.mCall = node.LatestCall()->mCall;
    ended.mResult = RelayResult::kBroken;
    ended.mIsConnectionLost = true;
    node.Step(ended);
    node.Step(ServerChecked{ lost, false });
    node.SendRequest("/once/x");
    node.EndLatestCall(
      isAnswered ? RelayResult::kDone : RelayResult::kRanFailed, 200);
    for (Replica& replica : replicas) {
      replica.mStartedAt = 7;
    }
    std::string text;
    for (const RelayEffect& effect : node.Step(ReplicasRead{ replicas })) {
      const auto* entry = std::get_if<RelayLogEntry>(&effect);
      text += entry && entry->mEvent == "replica-crashed" ? entry->mText : "";
    }
    const std::string expected =
      "server=" + lost.mValue +
      " calls=1 suspects=" + (isAnswered ? "0" : "1") + " alone=0";
    STRCMP_EQUAL(expected.c_str(), text.c_str());
  }
}

// Guards against new schedulers that run equal requests concurrently.
TEST(CrashingContent, NewNodesAreToldOfEarlierCrashes)
{
  const auto countTold = [](SingleRelayNode& aNode, const char* aName) {
    std::pair<std::size_t, std::size_t> told; // Suspects and refused content.
    for (const RelayEffect& effect : aNode.mLastEffects) {
      const auto* sent = std::get_if<SendToPeer>(&effect);
      const auto* report =
        sent ? std::get_if<ContentReport>(&sent->mMessage) : nullptr;
      if (report != nullptr && sent->mPeer.mName.mValue == aName) {
        told.first += report->mSuspects.size();
        told.second += report->mRefused.size();
      }
    }
    return told;
  };
  for (const bool isRefused : { false, true }) {
    SingleRelayNode node;
    for (int crash = 0; crash < (isRefused ? 3 : 1); ++crash) {
      RestartReplicas(node, crash + 1);
      node.SendRequest("/once/x");
      Crash(node, *node.LatestCall());
    }
    // Other new nodes do not count as senders of the report.
    for (const char* name : { "c", "d", "e", "f" }) {
      node.AddNodes({ name });
      node.Step(TimerFired{});
      const auto [suspects, refused] = countTold(node, name);
      CHECK(suspects >= 1);
      CHECK_EQUAL(isRefused, refused >= 1);
    }
  }
}

// Equal requests that run at several replicas at a time may end all of them
// before the first crash is known.
TEST(CrashingContent, EqualRequestsRunOneAtATimeAfterACrash)
{
  SingleRelayNode node;
  node.SendRequest("/once/x");
  Crash(node, *node.LatestCall());
  node.SendRequest("/once/x");
  const StartCall second = *node.LatestCall();
  CHECK(node.Find<StartCall>() != nullptr);
  node.SendRequest("/once/x");
  CHECK(node.Find<StartCall>() == nullptr);
  CHECK(node.Find<RefuseCaller>() == nullptr);
  RelayCallEnded done;
  done.mCall = second.mCall;
  done.mResult = RelayResult::kDone;
  done.mStatus = 200;
  node.Step(done);
  CHECK(node.Find<StartCall>() != nullptr);
  // The answer cleared the content.
  node.SendRequest("/once/x");
  CHECK(node.Find<StartCall>() != nullptr);
}

// The request was queued before the crash, so its scheduler does not know it as
// a suspect.
TEST(CrashingContent, RequestsThatWaitedThroughACrashRunOneAtATime)
{
  SingleRelayNode node;
  node.Step(ReplicasRead{ { MakeReplica("s1", "desk", Role::kPlain) } });
  for (int n = 0; n < 4; ++n) {
    node.SendRequest("/once/x");
  }
  const StartCall running = *node.LatestCall();
  for (int n = 0; n < 3; ++n) {
    node.SendRequest("/once/x");
    CHECK(node.Find<StartCall>() == nullptr);
  }
  int started = 0;
  for (CallerId caller = 1; caller <= 4; ++caller) {
    StartCall call = running;
    call.mCall = { caller, 1 };
    Crash(node, call);
    started += node.Find<StartCall>() == nullptr ? 0 : 1;
  }
  for (int n = 0; n < 4 && started == 0; ++n) {
    node.Step(ReplicasRead{ { MakeReplica("s2", "desk", Role::kPlain) } },
              Milliseconds(300));
    for (const RelayEffect& effect : node.Step(TimerFired{})) {
      started += std::holds_alternative<StartCall>(effect) ? 1 : 0;
    }
  }
  CHECK_EQUAL(1, started);
}

// What waits is known to be hopeless once the content is refused, and other
// nodes hear of it with the crash.
TEST(CrashingContent, RefusalReachesWaitingRequestsAndOtherNodesAtOnce)
{
  SingleRelayNode node;
  node.AddNodes({ "c" });
  for (int crash = 0; crash < 3; ++crash) {
    RestartReplicas(node, crash + 1);
    node.SendRequest("/once/x");
    const StartCall call = *node.LatestCall();
    CHECK(node.Find<StartCall>() != nullptr);
    node.SendRequest("/once/x");
    const bool isWaiting = node.Find<StartCall>() == nullptr;
    CHECK_EQUAL(crash > 0, isWaiting);
    Crash(node, call);
    const ContentReport* report = SentReport(node);
    CHECK(report != nullptr);
    CHECK_EQUAL(crash == 2 ? 1U : 0U, report->mRefused.size());
    CHECK_EQUAL(crash > 0 ? 1U : 0U, report->mRanAlone.size());
    const auto* refused = node.Find<RefuseCaller>();
    CHECK_EQUAL(crash == 2, refused != nullptr);
    if (refused != nullptr) {
      CHECK(refused->mError.mCode == ErrorCode::kCrashingContent);
    }
    // The other request ends without an answer.
    node.Step(RelayCallerDisconnected{ node.mCaller });
  }
}

// Runs one after the other are separate, however short they are.
TEST(CrashingContent, CrashesAloneCountWithoutSeparation)
{
  for (const bool ranAlone : { false, true }) {
    for (const bool wasSound : { false, true }) {
      CrashingContent content;
      if (wasSound) {
        content.OnSound(kDeadly);
      }
      const std::vector<ContentId> alone =
        ranAlone ? std::vector<ContentId>{ kDeadly } : std::vector<ContentId>{};
      content.OnCrash(kStart, 1, { kFirst, kDeadly });
      content.OnCrash(kStart + Milliseconds(30), 2, { kDeadly }, alone);
      CHECK_FALSE(content.RefusedFor(kStart + Milliseconds(40), kDeadly));
      content.OnCrash(kStart + Milliseconds(60), 3, { kDeadly }, alone);
      const Instant now = kStart + Milliseconds(70);
      CHECK_EQUAL(ranAlone, content.RefusedFor(now, kDeadly).has_value());
      CHECK_FALSE(content.RefusedFor(now, kFirst));
    }
  }
}
