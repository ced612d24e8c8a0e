#include "heatherfork/detail/scheduling/rendezvous.h"
#include "single_relay_node.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const NodeId kOther{ NodeName{ "other" }, 2 };

RoutingPtr
QuotaRouting(Revision aRevision,
             const std::string& aWorkspace,
             const WorkspaceQuota& aQuota)
{
  auto routing = std::make_shared<Routing>(*SampleRouting(aRevision));
  routing->mNeedsKeys = true;
  RoutedWorkspace workspace;
  workspace.mName.mValue = aWorkspace;
  workspace.mKeyDigests = { "k" };
  workspace.mQuota = aQuota;
  routing->mWorkspaces = { workspace };
  return routing;
}

/// A workspace that the other node owns.
std::string
WorkspaceOfOther()
{
  for (int n = 0;; ++n) {
    std::string name = "w" + std::to_string(n);
    if (detail::RendezvousWeight(name, "other") >
        detail::RendezvousWeight(name, "n")) {
      return name;
    }
  }
}

/// Ten requests a second, three at once.
class QuotaNode : public SingleRelayNode
{
public:
  explicit QuotaNode(bool aHasOther = false)
    : mWorkspace(aHasOther ? WorkspaceOfOther() : "w")
  {
    SetQuota(10);
    if (aHasOther) {
      AddNodes({ "other" });
    }
    Wait(1040, true);
  }

  void SetQuota(double aRate)
  {
    Step(RoutingRead{ QuotaRouting(
      ++mRevision, mWorkspace, { QuotaUnit::kRequests, aRate, 3, 0 }) });
  }

  void Send(const std::string& aKey = "k")
  {
    RelayRequest request;
    request.mId = "r";
    request.mHost = "h";
    request.mPath = "/once/x";
    request.mTimeLeft = Milliseconds(4000);
    request.mKeyDigest = aKey;
    Step(RelayRequestArrived{ ++mCaller, request });
  }

  /// HTTP status of the refusal; 0 without one.
  int Refused() const
  {
    const auto* refused = Find<RefuseCaller>();
    return refused == nullptr ? 0 : InfoOf(refused->mError.mCode).mHttpStatus;
  }

  const QuotaRequest* Question() const
  {
    for (const RelayEffect& effect : mLastEffects) {
      if (const auto* send = std::get_if<SendToPeer>(&effect)) {
        if (const auto* found = std::get_if<QuotaRequest>(&send->mMessage)) {
          return found;
        }
      }
    }
    return nullptr;
  }

  void Answer(std::uint64_t aNumber,
              std::int64_t aUnits,
              Duration aWait = {},
              const NodeId& aFrom = kOther)
  {
    QuotaGrant grant;
    grant.mNumber = aNumber;
    grant.mCredits = {
      { WorkspaceName{ mWorkspace }, aUnits, Milliseconds(400), aWait, aWait }
    };
    Step(PeerReceived{ aFrom, grant });
  }

  /// Passes time with timers. The other node answers probes if it is alive.
  void Wait(std::int64_t aMilliseconds, bool aIsOtherAlive = false)
  {
    RelayEffects effects;
    for (std::int64_t at = 0; at < aMilliseconds; at += 20) {
      const RelayEffects more = Step(TimerFired{}, Milliseconds(20));
      effects.insert(effects.end(), more.begin(), more.end());
      for (const RelayEffect& effect : more) {
        const auto* send = std::get_if<SendToPeer>(&effect);
        const auto* probe =
          send == nullptr ? nullptr : std::get_if<Probe>(&send->mMessage);
        if (probe != nullptr && aIsOtherAlive) {
          Step(PeerReceived{ kOther, ProbeAck{ probe->mNumber, 0, 0, {} } });
        }
      }
    }
    mLastEffects = effects;
  }

private:
  std::string mWorkspace;
  Revision mRevision = 1;
};

/// A node that another one owes an answer for one request.
struct AskingNode : QuotaNode
{
  AskingNode()
    : QuotaNode(true)
  {
    Send();
    CHECK(Question() != nullptr);
    mNumber = Question()->mNumber;
  }

  std::uint64_t mNumber = 0;
};

} // namespace

TEST_GROUP(RelayQuota){};

TEST(RelayQuota, OwnerRefusesAtOnceBeyondTheLimit)
{
  QuotaNode node;
  node.Wait(600);
  for (int n = 0; n < 3; ++n) {
    node.Send();
    CHECK(node.Find<StartCall>() != nullptr);
  }
  node.Send();
  CHECK_EQUAL(429, node.Refused());
  const Duration wait = node.Find<RefuseCaller>()->mRetryAfter;
  CHECK(wait >= Milliseconds(100));
  CHECK(wait <= Milliseconds(1000));
  node.Wait(ToMilliseconds(wait));
  node.Send();
  CHECK(node.Find<StartCall>() != nullptr);
}

TEST(RelayQuota, WithoutARateNothingIsCounted)
{
  QuotaNode node;
  node.SetQuota(0);
  for (int n = 0; n < 8; ++n) {
    node.Send();
    CHECK(node.Find<StartCall>() != nullptr);
    node.EndLatestCall(RelayResult::kDone, 200);
  }
}

TEST(RelayQuota, RequestWaitsForTheAnswerOfTheOwner)
{
  struct Row
  {
    const char* mName;
    std::int64_t mUnits;
    Duration mWait;
    NodeId mFrom;
    std::uint64_t mNumber; ///< Added to that of the question.
    bool mIsCalled;
    int mRefused;
  };
  const Row kRows[] = {
    { "granted", 1, {}, kOther, 0, true, 0 },
    { "over the limit", 0, Milliseconds(300), kOther, 0, false, 429 },
    { "answer to another question", 1, {}, kOther, 1, false, 0 },
    { "answer of another node", 1, {}, { NodeName{ "x" }, 5 }, 0, false, 0 },
  };
  for (const Row& row : kRows) {
    AskingNode node;
    CHECK(node.Find<StartCall>() == nullptr);
    node.Answer(node.mNumber + row.mNumber, row.mUnits, row.mWait, row.mFrom);
    CHECK_EQUAL_TEXT(
      row.mIsCalled, node.Find<StartCall>() != nullptr, row.mName);
    CHECK_EQUAL_TEXT(row.mRefused, node.Refused(), row.mName);
  }
}

TEST(RelayQuota, WaitingRequestEndsInEveryWay)
{
  struct Row
  {
    const char* mName;
    std::function<void(AskingNode&)> mEvent;
    int mRefused;
    bool mIsCalled;
  };
  const Row kRows[] = {
    { "caller disconnects",
      [](AskingNode& aNode) {
        aNode.Step(RelayCallerDisconnected{ aNode.mCaller });
        CHECK(aNode.Find<StopCall>() == nullptr);
      },
      0,
      false },
    { "quota removed", [](AskingNode& aNode) { aNode.SetQuota(0); }, 0, true },
    { "planned stop",
      [](AskingNode& aNode) {
        aNode.Step(StopRequested{});
        aNode.Wait(8000);
      },
      503,
      false },
  };
  for (const Row& row : kRows) {
    AskingNode node;
    row.mEvent(node);
    CHECK_EQUAL_TEXT(row.mRefused, node.Refused(), row.mName);
    CHECK_EQUAL_TEXT(
      row.mIsCalled, node.Find<StartCall>() != nullptr, row.mName);
    if (!row.mIsCalled) {
      CHECK_EQUAL_TEXT(0U, node.mReducer.View().mOpenRequests, row.mName);
    }
  }
}

// The other node never answers; membership makes this node the owner.
TEST(RelayQuota, NextOwnerServesWhatWaits)
{
  AskingNode node;
  node.Wait(1900);
  CHECK(node.Find<StartCall>() != nullptr);
}

TEST(RelayQuota, RequestThatDidNotRunGivesItsUnitsBack)
{
  struct Row
  {
    const char* mName;
    bool mHasReplicas;
    int mRefused; ///< Of requests beyond the burst.
  };
  const Row kRows[] = { { "not run", false, 503 }, { "run", true, 429 } };
  for (const Row& row : kRows) {
    QuotaNode node;
    node.Wait(600);
    if (!row.mHasReplicas) {
      node.Step(ReplicasRead{ {} });
      node.Wait(20);
    }
    int refused = 0;
    for (int n = 0; n < 8; ++n) {
      node.Send();
      refused = node.Refused();
      if (node.Find<StartCall>() != nullptr) {
        node.EndLatestCall(RelayResult::kDone, 200);
      }
    }
    CHECK_EQUAL_TEXT(row.mRefused, refused, row.mName);
  }
}
