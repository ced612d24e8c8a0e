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
FullRequest()
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
FullMember()
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
FullPlaceRequest()
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

/// One message of each type, with non-default values so that a field that is
/// not encoded shows up as a difference.
std::vector<PeerMessage>
AllMessages()
{
  const Error error{ ErrorCode::kQueueFull, "full" };
  return {
    ForwardRequest{ 1, FullRequest() },
    ForwardAnswer{ 2, Answer{ true, error, "body", 9 } },
    FullPlaceRequest(),
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
    Probe{ 1, 2, 3, { FullMember(), Member{} } },
    ProbeAck{ 1, 2, 3, { FullMember() } },
    ProbeRelay{ 4, kNode, Address{ "10.0.0.2:81" } },
    ProbeRelayed{ 5, kNode },
    SyncRequest{ { 1, 2, 3 } },
    SyncReply{ { 4, 5 }, { FullMember() } },
    HeadRequest{ 6 },
    HeadReply{ 7, 6, "digest", { { "name", "digest" } }, { "removed" } },
    PartRequest{ "digest" },
    PartReply{ "digest", true, "body" },
    CrashReport{ 7, 2, Milliseconds(600000) },
    PublishedRequest{ "replicas/", 8, 3 },
    PublishedReply{ "replicas/", 9, { { "replicas/a", "{}", 8, false } }, 3 },
    PlacementsKept{ { { FullPlaceRequest(), ServerName{ "s" } } } },
    PublishedNews{ "replicas/", 8, 9, { { "replicas/a", "", 9, true } }, 3 },
    ContentReport{ { { 3,
                       Milliseconds(500),
                       { { 7, { 1, 2 }, true }, { 8, {}, false } },
                       { 2 } } },
                   { 4 },
                   true,
                   { { 3, 9 } } },
    LimitReport{ { { ServerName{ "s" }, 5, true, { 400 }, Milliseconds(7) } } },
    LeavingReport{ { { ServerName{ "s" }, 5 } } },
    KeyProofRequest{ 7 },
    KeyProofReply{ 7, 12, Milliseconds(300) },
    QuotaRequest{ 8, { { WorkspaceName{ "w" }, 500, 100, 50, 20 } } },
    QuotaGrant{ 8,
                { { WorkspaceName{ "w" },
                    400,
                    Milliseconds(1000),
                    Milliseconds(50),
                    Milliseconds(90) } } },
  };
}

std::shared_ptr<const KeyRing>
MakeKeyRing(std::vector<std::string> aKeys)
{
  return std::make_shared<const KeyRing>(std::move(aKeys));
}

Nonce
MakeNonce(std::uint8_t aFill)
{
  Nonce nonce{};
  nonce.fill(aFill);
  return nonce;
}

/// Both sides of a connection after the exchange of their nonces.
struct SessionPair
{
  SessionPair(const std::shared_ptr<const KeyRing>& aDialer,
              const std::shared_ptr<const KeyRing>& aAcceptor,
              std::uint8_t aFill)
    : mDialer(Session::Side::kDialer, aDialer, MakeNonce(aFill))
    , mAcceptor(Session::Side::kAcceptor, aAcceptor, MakeNonce(aFill + 1))
  {
    CHECK(mDialer.Receive(mAcceptor.InitialBytes()).ok());
    CHECK(mAcceptor.Receive(mDialer.InitialBytes()).ok());
  }

  Session mDialer;
  Session mAcceptor;
};

const std::string kOldKey = "an old key of the fleet";
const std::string kNewKey = "a new key of the fleet!";

} // namespace

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, EncodesAndDecodesEveryMessageType)
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

TEST(PeerCodec, DecodesDamagedFramesWithoutInvalidAccess)
{
  for (const PeerMessage& message : AllMessages()) {
    const std::string encoded = EncodeFrame(kNode, message);
    for (std::size_t n = 0; n < encoded.size(); ++n) {
      std::string flipped = encoded;
      flipped[n] = static_cast<char>(flipped[n] ^ 0xff);
      // Either result is fine. The sanitizer build detects invalid memory
      // accesses.
      (void)DecodeFrame(flipped);
      (void)DecodeFrame(std::string_view(encoded).substr(0, n));
    }
  }
  CHECK(!DecodeFrame("").ok());
  CHECK(!DecodeFrame(EncodeFrame(NodeId{}, Probe{})).ok());
}

TEST(PeerCodec, RejectsValuesOutOfRange)
{
  Answer answer;
  answer.mError.mCode = static_cast<ErrorCode>(9999);
  Member member = FullMember();
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

TEST(PeerSession, ReassemblesFramesFromChunksOfAnySize)
{
  for (const std::size_t chunkBytes : { 1U, 3U, 20U, 1000U }) {
    SessionPair sessions(MakeKeyRing({ kOldKey }), MakeKeyRing({ kOldKey }), 1);
    std::string bytes = sessions.mDialer.Seal(FrameKind::kHello, "hello");
    bytes += sessions.mDialer.Seal(FrameKind::kMessage, "message");
    std::vector<detail::SessionFrame> frames;
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunkBytes) {
      auto received = sessions.mAcceptor.Receive(
        std::string_view(bytes).substr(offset, chunkBytes));
      CHECK(received.ok());
      frames.insert(frames.end(), received->begin(), received->end());
    }
    CHECK_EQUAL(2U, frames.size());
    CHECK(frames[1] ==
          (detail::SessionFrame{ FrameKind::kMessage, "message" }));
  }
}

TEST(PeerSession, AcceptsAnyKeyOfTheRingDuringKeyRotation)
{
  struct Row
  {
    std::vector<std::string> mDialer;
    std::vector<std::string> mAcceptor;
    bool mIsAccepted;
  };
  const std::vector<Row> rows = {
    { { kOldKey }, { kOldKey }, true },
    { { kOldKey }, { kOldKey, kNewKey }, true },
    { { kNewKey, kOldKey }, { kOldKey, kNewKey }, true },
    { { kNewKey }, { kNewKey, kOldKey }, true },
    { { kOldKey }, { kNewKey }, false },
    { { kNewKey }, { kOldKey }, false },
  };
  for (const Row& row : rows) {
    SessionPair sessions(
      MakeKeyRing(row.mDialer), MakeKeyRing(row.mAcceptor), 1);
    const auto bytes = sessions.mDialer.Seal(FrameKind::kHello, "hello");
    CHECK_EQUAL(row.mIsAccepted, sessions.mAcceptor.Receive(bytes).ok());
  }
}

TEST(PeerSession, RejectsReplayedReorderedAndReflectedFrames)
{
  SessionPair sessions(MakeKeyRing({ kOldKey }), MakeKeyRing({ kOldKey }), 1);
  const auto first = sessions.mDialer.Seal(FrameKind::kHello, "hello");
  const auto second = sessions.mDialer.Seal(FrameKind::kPing, "");
  // On another connection, out of order, and reflected to its sender.
  SessionPair other(MakeKeyRing({ kOldKey }), MakeKeyRing({ kOldKey }), 5);
  CHECK(absl::IsUnauthenticated(other.mAcceptor.Receive(first).status()));
  SessionPair reordered(MakeKeyRing({ kOldKey }), MakeKeyRing({ kOldKey }), 1);
  CHECK(absl::IsUnauthenticated(reordered.mAcceptor.Receive(second).status()));
  CHECK(absl::IsUnauthenticated(sessions.mDialer.Receive(first).status()));
  // Replayed on its own connection.
  CHECK(sessions.mAcceptor.Receive(first).ok());
  CHECK(absl::IsUnauthenticated(sessions.mAcceptor.Receive(first).status()));
}

TEST(PeerSession, RejectsTamperedFramesAndOversizedGreetings)
{
  SessionPair unmodified(MakeKeyRing({ kOldKey }), MakeKeyRing({ kOldKey }), 1);
  const auto bytes = unmodified.mDialer.Seal(FrameKind::kHello, "hello");
  for (std::size_t i = 4; i < bytes.size(); ++i) {
    SessionPair sessions(MakeKeyRing({ kOldKey }), MakeKeyRing({ kOldKey }), 1);
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    CHECK(!sessions.mAcceptor.Receive(bad).ok());
  }
  SessionPair sessions(MakeKeyRing({ kOldKey }), MakeKeyRing({ kOldKey }), 1);
  const auto greeting =
    sessions.mDialer.Seal(FrameKind::kHello, std::string(5000, 'x'));
  CHECK(absl::IsInvalidArgument(
    sessions.mAcceptor.Receive(greeting.substr(0, 4)).status()));
}
