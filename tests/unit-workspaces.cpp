#include <map>
#include <set>

#include "heatherfork/detail/relay/pools.h"
#include "single_relay_node.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr Duration kBound = Milliseconds(5000);
constexpr Duration kOwed = Milliseconds(3000); ///< After the way is lost.

std::string
MakeDigest(const std::string& aKey)
{
  return "digest of " + aKey;
}

RoutedWorkspace
MakeWorkspace(const std::string& aName, const std::vector<std::string>& aKeys)
{
  RoutedWorkspace workspace;
  workspace.mName.mValue = aName;
  for (const std::string& key : aKeys) {
    workspace.mKeyDigests.push_back(MakeDigest(key));
  }
  return workspace;
}

/// Two workspaces; routes below /open/ need no key.
RoutingPtr
RoutingWithKeys(Revision aRevision,
                const std::vector<std::string>& aFirst = { "k1", "k2" })
{
  Routing routing = *SampleRouting(aRevision);
  routing.mNeedsKeys = true;
  RoutedWorkspace first = MakeWorkspace("first", aFirst);
  first.mRank = 7;
  routing.mWorkspaces = { first, MakeWorkspace("second", { "k3" }) };
  Route open = MakeRoute("/open/", "desk");
  open.mIsAnonymous = true;
  routing.mRoutes.push_back(open);
  return std::make_shared<const Routing>(std::move(routing));
}

RelaySettings
SettingsWithBound(Duration aBound = kBound)
{
  RelaySettings settings;
  settings.mRetrySlack = 100;
  settings.mMaxKeyDelay = aBound;
  return settings;
}

/// Identifier of the error that the caller gets; empty if the request is sent.
std::string
ErrorFor(const SingleRelayNode& aNode)
{
  const auto* refused = aNode.Find<RefuseCaller>();
  return refused == nullptr
           ? ""
           : std::string(InfoOf(refused->mError.mCode).mIdentifier);
}

void
Confirm(SingleRelayNode& aNode, Revision aRevision)
{
  aNode.Step(RoutesConfirmed{ aRevision, aNode.mNow });
}

std::string
SendAndGetError(SingleRelayNode& aNode, const std::string& aKey)
{
  aNode.SendRequest(
    "/often/x", Milliseconds(4000), aKey.empty() ? "" : MakeDigest(aKey));
  return ErrorFor(aNode);
}

/// The first message of a type that the last event sent.
template<class Message>
const SendToPeer*
FindSent(const SingleRelayNode& aNode)
{
  for (const RelayEffect& effect : aNode.mLastEffects) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent != nullptr && std::holds_alternative<Message>(sent->mMessage)) {
      return sent;
    }
  }
  return nullptr;
}

/// Lets time pass in the steps of a node's timer, up to the next question.
const SendToPeer*
WaitForQuestion(SingleRelayNode& aNode, int aSteps = 100)
{
  for (int step = 0; step < aSteps; ++step) {
    aNode.Step(TimerFired{}, Milliseconds(20));
    if (const SendToPeer* sent = FindSent<KeyProofRequest>(aNode)) {
      return sent;
    }
  }
  return nullptr;
}

/// A step of the node's timer, at which all other nodes answer its probes.
/// Returns the questions and the nodes that they are sent to.
std::pair<std::set<NodeId>, std::vector<KeyProofRequest>>
LetTimePass(SingleRelayNode& aNode)
{
  std::pair<std::set<NodeId>, std::vector<KeyProofRequest>> questions;
  for (const RelayEffect& effect : aNode.Step(TimerFired{}, Milliseconds(20))) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent == nullptr) {
      continue;
    }
    if (const auto* probe = std::get_if<Probe>(&sent->mMessage)) {
      aNode.Step(PeerReceived{ sent->mPeer, ProbeAck{ probe->mNumber } },
                 Duration{});
    }
    if (const auto* asked = std::get_if<KeyProofRequest>(&sent->mMessage)) {
      questions.first.insert(sent->mPeer);
      questions.second.push_back(*asked);
    }
  }
  return questions;
}

} // namespace

TEST_GROUP(Workspaces){};

TEST(Workspaces, AdmitsRequestsByKey)
{
  struct Row
  {
    const char* mName;
    std::string mPath;
    std::string mKey;
    std::string mError;
    std::string mWorkspace{};
  };
  const Row kRows[] = {
    { "first key", "/often/x", "k1", "", "first" },
    { "second key of a workspace", "/often/x", "k2", "", "first" },
    { "another workspace", "/often/x", "k3", "", "second" },
    { "unknown key", "/often/x", "k4", "unauthorized" },
    { "no key", "/often/x", "", "unauthorized" },
    { "no route", "/none/x", "k1", "not-found" },
    { "open route without a key", "/open/x", "", "" },
    { "open route, unknown key", "/open/x", "k4", "" },
    { "open route, known key", "/open/x", "k3", "", "second" },
  };
  for (const Row& row : kRows) {
    SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(1));
    Confirm(node, 1);
    node.SendRequest(row.mPath,
                     Milliseconds(4000),
                     row.mKey.empty() ? "" : MakeDigest(row.mKey));
    STRCMP_EQUAL_TEXT(row.mError.c_str(), ErrorFor(node).c_str(), row.mName);
    const auto* call = node.Find<StartCall>();
    CHECK_EQUAL_TEXT(row.mError.empty(), call != nullptr, row.mName);
    if (call != nullptr) {
      CHECK_TEXT(call->mHasWorkspaces, row.mName);
      STRCMP_EQUAL_TEXT(
        row.mWorkspace.c_str(), call->mWorkspace.mValue.c_str(), row.mName);
    }
  }
}

TEST(Workspaces, PassesEverythingWithoutWorkspaces)
{
  for (const std::string key : { "", "k1" }) {
    SingleRelayNode node(SettingsWithBound(), SampleRouting(1));
    STRCMP_EQUAL("", SendAndGetError(node, key).c_str());
    CHECK_FALSE(node.LatestCall()->mHasWorkspaces);
    CHECK(node.LatestCall()->mSendBefore == Instant{});
  }
}

// A node that may lack the newest keys refuses known and unknown ones alike.
TEST(Workspaces, NeedsRecentProofForKeys)
{
  struct Row
  {
    const char* mName;
    Duration mBound;
    Duration mAge; ///< Below zero: no proof.
    std::string mKnown;
    std::string mUnknown;
  };
  const std::string kNoProof = "keys-unconfirmed";
  const Row kRows[] = {
    { "fresh", kBound, {}, "", "unauthorized" },
    { "way lost lately", kBound, kOwed, "", "unauthorized" },
    { "at the bound", kBound, kBound, kNoProof, kNoProof },
    { "long ago", kBound, 9 * kBound, kNoProof, kNoProof },
    { "never", kBound, Milliseconds(-1), kNoProof, kNoProof },
    { "no bound", {}, Milliseconds(-1), "", "unauthorized" },
  };
  for (const Row& row : kRows) {
    SingleRelayNode node(SettingsWithBound(row.mBound), RoutingWithKeys(1));
    if (row.mAge >= Duration{}) {
      Confirm(node, 1);
      node.mNow += row.mAge;
    }
    STRCMP_EQUAL_TEXT(
      row.mKnown.c_str(), SendAndGetError(node, "k1").c_str(), row.mName);
    STRCMP_EQUAL_TEXT(
      row.mUnknown.c_str(), SendAndGetError(node, "k4").c_str(), row.mName);
    node.SendRequest("/open/x");
    STRCMP_EQUAL_TEXT("", ErrorFor(node).c_str(), row.mName);
  }
}

TEST(Workspaces, CallsMustLeaveBeforeTheBound)
{
  SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(1));
  const Instant askedAt = node.mNow;
  Confirm(node, 1);
  SendAndGetError(node, "k1");
  const Instant limit = node.LatestCall()->mSendBefore;
  CHECK(limit < askedAt + kBound);
  CHECK(limit > askedAt + kOwed);
  // A pause of the process ends after the limit: the call was not sent.
  node.mNow = limit;
  node.EndLatestCall(RelayResult::kNotSent);
  STRCMP_EQUAL("keys-unconfirmed", ErrorFor(node).c_str());
  CHECK(node.Find<RefuseCaller>()->mRetryAfter > Duration{});
  CHECK(node.Find<StartCall>() == nullptr);
}

TEST(Workspaces, ChecksKeyAgainBeforeEachCall)
{
  struct Row
  {
    const char* mName;
    bool mIsWithdrawn;
    Duration mLater; ///< Until the first call ends.
    std::string mError;
  };
  const Row kRows[] = {
    { "still valid", false, {}, "" },
    { "withdrawn", true, {}, "unauthorized" },
    { "proof lapsed", false, kBound, "keys-unconfirmed" },
  };
  for (const Row& row : kRows) {
    SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(1));
    Confirm(node, 1);
    node.SendRequest("/long/x", Milliseconds(15000), MakeDigest("k1"));
    CHECK(node.LatestCall()->mStage == RelayStage::kPrefill);
    if (row.mIsWithdrawn) {
      node.Step(RoutingRead{ RoutingWithKeys(2, { "k2" }) });
      Confirm(node, 2);
    }
    node.mNow += row.mLater;
    node.EndLatestCall(RelayResult::kDone, 200);
    STRCMP_EQUAL_TEXT(row.mError.c_str(), ErrorFor(node).c_str(), row.mName);
    CHECK_EQUAL_TEXT(
      row.mError.empty(), node.Find<StartCall>() != nullptr, row.mName);
  }
}

TEST(Workspaces, RefusesWaitingRequestsOfWithdrawnKeys)
{
  SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(1));
  Confirm(node, 1);
  constexpr int kPlaces = 8; // Of two replicas.
  for (int n = 0; n < kPlaces; ++n) {
    SendAndGetError(node, "k3");
    CHECK(node.Find<StartCall>() != nullptr);
  }
  STRCMP_EQUAL("", SendAndGetError(node, "k1").c_str());
  CHECK(node.Find<StartCall>() == nullptr);
  const CallerId waiting = node.mCaller;
  node.Step(RoutingRead{ RoutingWithKeys(2, { "k2" }) });
  STRCMP_EQUAL("unauthorized", ErrorFor(node).c_str());
  CHECK_EQUAL(waiting, node.Find<RefuseCaller>()->mCaller);
}

TEST(Workspaces, StreamsThatRunGoOn)
{
  SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(1));
  Confirm(node, 1);
  node.SendRequest("/stream/x", Milliseconds(4000), MakeDigest("k1"));
  node.LatestCall();
  node.EndLatestCall(RelayResult::kDone, 200);
  node.Step(RelayStreamStarted{ node.LatestCall()->mCall });
  node.Step(RoutingRead{ RoutingWithKeys(2, { "k2" }) });
  CHECK(node.Find<BreakStream>() == nullptr);
  node.EndLatestCall(RelayResult::kDone, 200);
  CHECK(node.Find<PassAnswer>() != nullptr);
}

// Only a question of this node shows that what it holds was in force later.
TEST(Workspaces, TakesProofsOfItsOwnRevisionOnly)
{
  struct Row
  {
    const char* mName;
    Revision mRevision;
    Duration mAge;
    std::uint64_t mNumberOffset;
    bool mIsTaken;
  };
  const Row kRows[] = {
    { "recent", 5, Milliseconds(600), 0, true },
    { "of an older revision", 4, Milliseconds(600), 0, false },
    { "of a later revision", 6, Milliseconds(600), 0, false },
    { "too old", 5, kBound, 0, false },
    { "not asked for", 5, Milliseconds(600), 1, false },
    { "from the future", 5, Milliseconds(-600), 0, false },
  };
  for (const Row& row : kRows) {
    SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(5));
    node.AddNodes({ "a", "b", "c" });
    const SendToPeer* question = WaitForQuestion(node);
    CHECK_TEXT(question != nullptr, row.mName);
    const NodeId peer = question->mPeer;
    const auto number = std::get<KeyProofRequest>(question->mMessage).mNumber;
    node.Step(PeerReceived{
      peer,
      KeyProofReply{ number + row.mNumberOffset, row.mRevision, row.mAge } });
    STRCMP_EQUAL_TEXT(row.mIsTaken ? "" : "keys-unconfirmed",
                      SendAndGetError(node, "k1").c_str(),
                      row.mName);
  }
}

TEST(Workspaces, CountsAgeOfReplyFromItsQuestion)
{
  SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(5));
  node.AddNodes({ "a", "b", "c" });
  const SendToPeer question = *WaitForQuestion(node);
  const Instant askedAt = node.mNow;
  const auto number = std::get<KeyProofRequest>(question.mMessage).mNumber;
  // The reply was held up on its way.
  node.Step(PeerReceived{ question.mPeer,
                          KeyProofReply{ number, 5, Milliseconds(600) } },
            Milliseconds(3000));
  SendAndGetError(node, "k1");
  const Instant provenAt = askedAt - Milliseconds(600);
  CHECK(node.LatestCall()->mSendBefore < provenAt + kBound);
  CHECK(node.mReducer.View().mKeyProofAge == node.mNow - provenAt);
  // The same reply again proves nothing new.
  node.Step(
    PeerReceived{ question.mPeer, KeyProofReply{ number, 5, Duration{} } });
  CHECK(node.mReducer.View().mKeyProofAge == node.mNow - provenAt);
}

TEST(Workspaces, RepliesWithAgeAndRevision)
{
  SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(5));
  const NodeId asking{ NodeName{ "a" }, 2 };
  node.Step(PeerReceived{ asking, KeyProofRequest{ 9 } });
  CHECK(FindSent<KeyProofReply>(node) == nullptr);
  Confirm(node, 4); // Of other routes than those in force.
  node.Step(PeerReceived{ asking, KeyProofRequest{ 9 } });
  CHECK(FindSent<KeyProofReply>(node) == nullptr);
  const Instant askedAt = node.mNow;
  Confirm(node, 5);
  node.Step(PeerReceived{ asking, KeyProofRequest{ 9 } }, Milliseconds(70));
  const SendToPeer* sent = FindSent<KeyProofReply>(node);
  CHECK(sent != nullptr);
  const KeyProofReply expected{ 9, 5, node.mNow - askedAt };
  CHECK(std::get<KeyProofReply>(sent->mMessage) == expected);
}

// The proof must outlast the loss of the way by the time that is owed.
TEST(Workspaces, KeepsProofRecentByAskingNodes)
{
  constexpr Duration kReaderAge = Milliseconds(625); // Two waits of a watch.
  SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(5));
  node.AddNodes({ "a", "b", "c" });
  Duration most{};
  for (int step = 0; step < 500; ++step) {
    for (const KeyProofRequest& question : LetTimePass(node).second) {
      node.Step(
        PeerReceived{ NodeId{ NodeName{ "a" }, 2 },
                      KeyProofReply{ question.mNumber, 5, kReaderAge } });
    }
    if (step > 50) {
      most = std::max(most, *node.mReducer.View().mKeyProofAge);
    }
  }
  CHECK(most < Milliseconds(1250));
  CHECK_FALSE(node.mReducer.View().mShouldAskStore);
  // Without replies several nodes are asked, and then the store.
  std::set<NodeId> asked;
  for (int step = 0; step < 100; ++step) {
    const std::set<NodeId> peers = LetTimePass(node).first;
    asked.insert(peers.begin(), peers.end());
  }
  CHECK_EQUAL(3U, asked.size());
  CHECK(node.mReducer.View().mShouldAskStore);
}

TEST(Workspaces, AsksNothingWithoutBoundOrWorkspaces)
{
  for (const bool hasBound : { false, true }) {
    SingleRelayNode node(SettingsWithBound(hasBound ? kBound : Duration{}),
                         hasBound ? SampleRouting(1) : RoutingWithKeys(1));
    node.AddNodes({ "a", "b", "c" });
    CHECK(WaitForQuestion(node, 300) == nullptr);
    CHECK_FALSE(node.mReducer.View().mShouldAskStore);
  }
}

TEST(Workspaces, RanksAndWeightsOfPools)
{
  Routing routing = *RoutingWithKeys(1);
  routing.mWorkspaces.push_back(MakeWorkspace("third", {}));
  routing.mWorkspaces.push_back(MakeWorkspace("unlimited", {}));
  const double kRates[] = { 300, 30, 270, 0 };
  for (std::size_t n = 0; n < routing.mWorkspaces.size(); ++n) {
    routing.mWorkspaces[n].mQuota.mRate = kRates[n];
  }
  const auto configuration =
    detail::MakePoolConfiguration(routing, SampleReplicas());
  std::map<std::string, int> weights;
  for (const Workspace& workspace : configuration->mWorkspaces) {
    weights[workspace.mName.mValue] = workspace.mWeight;
  }
  const std::map<std::string, int> expected{ { "", 100 },
                                             { "first", 150 },
                                             { "second", 15 },
                                             { "third", 135 },
                                             { "unlimited", 100 } };
  CHECK(weights == expected);
  std::set<ClassName> classes;
  for (const WorkClass& workClass : configuration->mClasses) {
    classes.insert(workClass.mName);
  }
  const std::set<ClassName> ranks{
    detail::ClassOfRank(detail::RankWithWorkspace(0, std::nullopt)),
    detail::ClassOfRank(detail::RankWithWorkspace(0, 7))
  };
  CHECK(classes == ranks);
}

TEST(Workspaces, RankOfRouteOrdersRequestsOfEqualWorkspaces)
{
  struct Rank
  {
    int mRoute;
    std::optional<int> mWorkspace;
  };
  const Rank kInOrder[] = { { 0, {} }, { 0, 1 },  { 1, {} }, { 2, 1 },
                            { 0, 2 },  { 2, {} }, { 0, 7 },  { 999, 7 } };
  int last = -1;
  for (const Rank& rank : kInOrder) {
    const int all = detail::RankWithWorkspace(rank.mRoute, rank.mWorkspace);
    CHECK(last < all);
    last = all;
  }
}

TEST(Workspaces, RankOfWorkspacePrecedesRankOfRoute)
{
  SingleRelayNode node(SettingsWithBound(), RoutingWithKeys(1), 0);
  Confirm(node, 1);
  // Eight requests fill both replicas. Lower ranks go first.
  for (int n = 0; n < 8; ++n) {
    SendAndGetError(node, "k3");
  }
  const RelayCallId running = node.LatestCall()->mCall;
  SendAndGetError(node, "k1"); // Of rank 7.
  SendAndGetError(node, "k3"); // Of rank 0, as its route.
  const CallerId second = node.mCaller;
  RelayCallEnded ended;
  ended.mCall = running;
  ended.mResult = RelayResult::kDone;
  ended.mStatus = 200;
  node.Step(ended);
  CHECK(node.Find<StartCall>() != nullptr);
  CHECK_EQUAL(second, node.LatestCall()->mCall.mCaller);
}
