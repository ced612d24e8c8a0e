#include <string>
#include <vector>

#include "heatherfork/detail/peer/session.h"
#include "heatherfork/peer_frame.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using detail::FrameKind;
using detail::KeyRing;
using detail::Nonce;
using detail::Session;

namespace {

const NodeId kNode{ NodeName{ "node-1" }, 0x1234567890abcdef };
const AttemptId kAttempt{ 7, 8 };
const ShardId kShard{ PoolName{ "pool" }, ZoneName{ "zone" }, 3 };

Request
WholeRequest()
{
  return Request{ WorkspaceName{ "tenant" },
                  RequestKind::kPlainCall,
                  ModelName{ "model" },
                  AdapterName{ "adapter" },
                  ServiceName{ "service" },
                  "call",
                  ClassName{ "class" },
                  RequestKey{ "key" },
                  kNode,
                  Instant(Milliseconds(5)),
                  Instant(Milliseconds(6)),
                  std::string("body\0with zero", 14),
                  11,
                  12,
                  true,
                  13 };
}

Member
WholeMember()
{
  return Member{ kNode,
                 ZoneName{ "zone" },
                 Address{ "10.0.0.1:80" },
                 Address{ "10.0.0.1:81" },
                 MemberStatus::kLeaving,
                 3,
                 4,
                 5 };
}

PlaceRequest
WholePlaceRequest()
{
  return PlaceRequest{ kAttempt,
                       RequestKind::kPlainCall,
                       ModelName{ "m" },
                       ServiceName{ "s" },
                       WorkspaceName{ "t" },
                       ClassName{ "c" },
                       1,
                       2,
                       { 3, 4 },
                       { ServerName{ "x" }, ServerName{ "y" } },
                       true,
                       true,
                       Instant(Milliseconds(9)),
                       kShard,
                       Milliseconds(10),
                       Milliseconds(11),
                       12 };
}

/// One message of each kind, with no field at its default.
std::vector<PeerMessage>
AllMessages()
{
  const Error error{ ErrorCode::kQueueFull, "full" };
  return {
    ForwardRequest{ 1, WholeRequest() },
    ForwardAnswer{ 2, Answer{ true, error, "body", 9 } },
    WholePlaceRequest(),
    Placed{
      kAttempt, ServerName{ "p" }, ServerName{ "d" }, kShard, Milliseconds(2) },
    PlacementQueued{ kAttempt },
    PlacementRefused{ kAttempt, error, kShard, Milliseconds(2) },
    PlacementProgress{
      kAttempt, PlacementStep::kFirstToken, Milliseconds(3), 4 },
    PlacementEnded{ kAttempt,
                    PlacementResult::kServerFailed,
                    ServerName{ "f" },
                    Milliseconds(5),
                    6 },
    Probe{ 1, 2, 3, { WholeMember(), Member{} } },
    ProbeAck{ 1, 2, 3, { WholeMember() } },
    ProbeRelay{ 4, kNode, Address{ "10.0.0.2:81" } },
    ProbeRelayed{ 5, kNode },
    SyncRequest{ { 1, 2, 3 } },
    SyncReply{ { 4, 5 }, { WholeMember() } },
    HeadRequest{ 6 },
    HeadReply{ 7, 6, "digest", { { "name", "digest" } }, { "removed" } },
    PartRequest{ "digest" },
    PartReply{ "digest", true, "body" },
    CrashReport{ 7, 2, Milliseconds(600000) },
    PublishedRequest{ "replicas/", 8 },
    PublishedReply{ "replicas/", 9, { { "replicas/a", "{}", 8, false } } },
    PlacementsKept{ { { WholePlaceRequest(), ServerName{ "s" } } } },
    PublishedNews{ "replicas/", 8, 9, { { "replicas/a", "", 9, true } } },
  };
}

std::shared_ptr<const KeyRing>
Keys(std::vector<std::string> aKeys)
{
  return std::make_shared<const KeyRing>(std::move(aKeys));
}

Nonce
NonceOf(std::uint8_t aFill)
{
  Nonce nonce{};
  nonce.fill(aFill);
  return nonce;
}

/// Two sides of a connection that have exchanged their nonces.
struct Pair
{
  Pair(const std::shared_ptr<const KeyRing>& aDialer,
       const std::shared_ptr<const KeyRing>& aAcceptor,
       std::uint8_t aFill)
    : mDialer(Session::Side::kDialer, aDialer, NonceOf(aFill))
    , mAcceptor(Session::Side::kAcceptor, aAcceptor, NonceOf(aFill + 1))
  {
    CHECK(mDialer.Receive(mAcceptor.InitialBytes()).ok());
    CHECK(mAcceptor.Receive(mDialer.InitialBytes()).ok());
  }

  Session mDialer;
  Session mAcceptor;
};

const std::string kOld = "an old key of the fleet";
const std::string kNew = "a new key of the fleet!";

} // namespace

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, EachMessageComesBackEqual)
{
  const auto messages = AllMessages();
  CHECK_EQUAL(std::variant_size_v<PeerMessage>, messages.size());
  for (std::size_t i = 0; i < messages.size(); ++i) {
    CHECK_EQUAL(i, messages[i].index());
    const auto frame = DecodeFrame(EncodeFrame(kNode, messages[i]));
    CHECK(frame.ok());
    CHECK(*frame == (PeerFrame{ kNode, messages[i] }));
  }
}

TEST(PeerCodec, DamagedFramesAreRefusedOrReadAsValues)
{
  for (const PeerMessage& message : AllMessages()) {
    const std::string whole = EncodeFrame(kNode, message);
    for (std::size_t n = 0; n < whole.size(); ++n) {
      std::string flipped = whole;
      flipped[n] = static_cast<char>(flipped[n] ^ 0xff);
      // Both must end without a fault; the sanitizers' build looks on.
      (void)DecodeFrame(flipped);
      (void)DecodeFrame(std::string_view(whole).substr(0, n));
    }
  }
  CHECK(!DecodeFrame("").ok());
  CHECK(!DecodeFrame(EncodeFrame(NodeId{}, Probe{})).ok());
}

TEST(PeerCodec, ValuesOutOfRangeAreRefused)
{
  Answer answer;
  answer.mError.mCode = static_cast<ErrorCode>(9999);
  Member member = WholeMember();
  member.mStatus = static_cast<MemberStatus>(77);
  const std::vector<PeerMessage> bad = {
    ForwardAnswer{ 1, answer },
    Probe{ 1, 0, 0, { member } },
    PlacementProgress{ kAttempt, static_cast<PlacementStep>(99) },
  };
  for (const PeerMessage& message : bad) {
    CHECK(!DecodeFrame(EncodeFrame(kNode, message)).ok());
  }
}

TEST_GROUP(PeerSession){};

TEST(PeerSession, FramesComeOutHoweverTheBytesAreCut)
{
  for (const std::size_t step : { 1U, 3U, 20U, 1000U }) {
    Pair pair(Keys({ kOld }), Keys({ kOld }), 1);
    std::string bytes = pair.mDialer.Seal(FrameKind::kHello, "hello");
    bytes += pair.mDialer.Seal(FrameKind::kMessage, "message");
    std::vector<detail::SessionFrame> frames;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      auto got =
        pair.mAcceptor.Receive(std::string_view(bytes).substr(at, step));
      CHECK(got.ok());
      frames.insert(frames.end(), got->begin(), got->end());
    }
    CHECK_EQUAL(2U, frames.size());
    CHECK(frames[1] ==
          (detail::SessionFrame{ FrameKind::kMessage, "message" }));
  }
}

TEST(PeerSession, KeysCanBeChangedNodeByNode)
{
  struct Row
  {
    std::vector<std::string> mDialer;
    std::vector<std::string> mAcceptor;
    bool mAccepted;
  };
  const std::vector<Row> rows = {
    { { kOld }, { kOld }, true },
    { { kOld }, { kOld, kNew }, true },
    { { kNew, kOld }, { kOld, kNew }, true },
    { { kNew }, { kNew, kOld }, true },
    { { kOld }, { kNew }, false },
    { { kNew }, { kOld }, false },
  };
  for (const Row& row : rows) {
    Pair pair(Keys(row.mDialer), Keys(row.mAcceptor), 1);
    const auto bytes = pair.mDialer.Seal(FrameKind::kHello, "hello");
    CHECK_EQUAL(row.mAccepted, pair.mAcceptor.Receive(bytes).ok());
  }
}

TEST(PeerSession, AFrameIsGoodOnceInOnePlace)
{
  Pair pair(Keys({ kOld }), Keys({ kOld }), 1);
  const auto first = pair.mDialer.Seal(FrameKind::kHello, "hello");
  const auto second = pair.mDialer.Seal(FrameKind::kPing, "");
  // On another connection, out of turn, and back to its sender.
  Pair other(Keys({ kOld }), Keys({ kOld }), 5);
  CHECK(absl::IsUnauthenticated(other.mAcceptor.Receive(first).status()));
  Pair skipping(Keys({ kOld }), Keys({ kOld }), 1);
  CHECK(absl::IsUnauthenticated(skipping.mAcceptor.Receive(second).status()));
  CHECK(absl::IsUnauthenticated(pair.mDialer.Receive(first).status()));
  // Twice on its own connection.
  CHECK(pair.mAcceptor.Receive(first).ok());
  CHECK(absl::IsUnauthenticated(pair.mAcceptor.Receive(first).status()));
}

TEST(PeerSession, ATamperedByteOrALongGreetingIsRefused)
{
  Pair intact(Keys({ kOld }), Keys({ kOld }), 1);
  const auto bytes = intact.mDialer.Seal(FrameKind::kHello, "hello");
  for (std::size_t i = 4; i < bytes.size(); ++i) {
    Pair pair(Keys({ kOld }), Keys({ kOld }), 1);
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    CHECK(!pair.mAcceptor.Receive(bad).ok());
  }
  Pair pair(Keys({ kOld }), Keys({ kOld }), 1);
  const auto greeting =
    pair.mDialer.Seal(FrameKind::kHello, std::string(5000, 'x'));
  CHECK(absl::IsInvalidArgument(
    pair.mAcceptor.Receive(greeting.substr(0, 4)).status()));
}
