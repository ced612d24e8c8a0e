#pragma once

#include <string>
#include <variant>
#include <vector>

#include "heatherfork/ids.h"
#include "heatherfork/member.h"
#include "heatherfork/request.h"
#include "heatherfork/time.h"

/// Messages between nodes. Each is a value; the codec is in the peer package.
namespace heatherfork {

/// Hands a request to its home.
struct ForwardRequest
{
  std::uint64_t mForward = 0; ///< Number of the request at the sender.
  Request mRequest;
  auto operator<=>(const ForwardRequest&) const = default;
};

/// The home's answer to a forwarded request.
struct ForwardAnswer
{
  std::uint64_t mForward = 0;
  Answer mAnswer;
  auto operator<=>(const ForwardAnswer&) const = default;
};

/// Asks a shard's scheduler for backend servers.
struct PlaceRequest
{
  AttemptId mAttempt;
  RequestKind mKind = RequestKind::kCompletion;
  ModelName mModel;
  ServiceName mService;
  WorkspaceName mWorkspace;
  ClassName mClass;
  int mPromptTokens = 0;
  int mMaxTokens = 0;
  std::vector<std::uint64_t> mPrefixes; ///< Hashes of the prompt's prefixes.
  std::vector<ServerName> mExcluded;    ///< Servers that failed this request.
  bool mMayWait = false;
  bool mIsolate = false; ///< Suspected of crashing servers: run it alone.
  Instant mDeadline{};
  ShardId mShard;       ///< Filled by the shard chooser.
  Duration mTimeLeft{}; ///< To the deadline, where clocks are not trusted.
  /// For the first token; one that can't meet it is refused at once, to come
  /// back. 0: the settings' target, and it is kept.
  Duration mTarget{};
  std::uint64_t mContent = 0; ///< Fingerprint, the same when it comes back.
  auto operator<=>(const PlaceRequest&) const = default;
};

/// The scheduler's choice; holds until PlacementEnded.
struct Placed
{
  AttemptId mAttempt;
  ServerName mPrefill; ///< Empty for a plain call.
  ServerName mServer;  ///< The decode server, or the plain service's.
  ShardId mShard;
  Duration mDelay{}; ///< Predicted wait for a place in the shard.
  auto operator<=>(const Placed&) const = default;
};

/// The scheduler holds the request in its queue; Placed or PlacementRefused
/// follows.
struct PlacementQueued
{
  AttemptId mAttempt;
  auto operator<=>(const PlacementQueued&) const = default;
};

/// The scheduler has no place and will find none before the deadline.
struct PlacementRefused
{
  AttemptId mAttempt;
  Error mError;
  ShardId mShard;
  Duration mDelay{}; ///< Predicted wait for a place in the shard.
  auto operator<=>(const PlacementRefused&) const = default;
};

/// A step of an attempt that a scheduler learns from.
enum class PlacementStep : std::uint8_t
{
  kReserved,
  kPrefilled,
  kTransferred,
  kFirstToken,
};

/// Tells the scheduler how far an attempt is.
struct PlacementProgress
{
  AttemptId mAttempt;
  PlacementStep mStep = PlacementStep::kReserved;
  Duration mTook{}; ///< Time spent in this step.
  int mCachedTokens = 0;
  auto operator<=>(const PlacementProgress&) const = default;
};

/// How an attempt ended, as its scheduler needs it.
enum class PlacementResult : std::uint8_t
{
  kDone,
  kAbandoned,    ///< Cancelled by us.
  kServerFailed, ///< Broken or refused by the named server.
};

/// Frees a placement.
struct PlacementEnded
{
  AttemptId mAttempt;
  PlacementResult mResult = PlacementResult::kDone;
  ServerName mFailed; ///< For kServerFailed.
  Duration mTook{};
  int mTokens = 0;
  auto operator<=>(const PlacementEnded&) const = default;
};

/// Asks whether a node is alive. Carries news of others.
struct Probe
{
  std::uint64_t mNumber = 0;
  Revision mRevision = 0;    ///< In force at the sender.
  std::uint64_t mDigest = 0; ///< Of the sender's living members.
  Members mGossip;
  auto operator<=>(const Probe&) const = default;
};

/// Answers a probe.
struct ProbeAck
{
  std::uint64_t mNumber = 0;
  Revision mRevision = 0;
  std::uint64_t mDigest = 0;
  Members mGossip;
  auto operator<=>(const ProbeAck&) const = default;
};

/// Asks another node to probe a third one.
struct ProbeRelay
{
  std::uint64_t mNumber = 0;
  NodeId mTarget;
  Address mAddress;
  auto operator<=>(const ProbeRelay&) const = default;
};

/// The third node answered the relay's probe.
struct ProbeRelayed
{
  std::uint64_t mNumber = 0;
  NodeId mTarget;
  auto operator<=>(const ProbeRelayed&) const = default;
};

/// Compares the living members by digests of hash buckets.
struct SyncRequest
{
  std::vector<std::uint64_t> mBuckets;
  auto operator<=>(const SyncRequest&) const = default;
};

/// All members of the buckets that differ, and the buckets wanted in return.
struct SyncReply
{
  std::vector<std::uint32_t> mWanted;
  Members mMembers;
  auto operator<=>(const SyncReply&) const = default;
};

/// One part of the configuration by its content.
struct PartDigest
{
  std::string mName;
  std::string mDigest; ///< SHA-256 in lower-case hex.
  auto operator<=>(const PartDigest&) const = default;
};

/// Asks for the head in force, as a difference to a revision.
struct HeadRequest
{
  Revision mHave = 0;
  auto operator<=>(const HeadRequest&) const = default;
};

/// A head as the difference to another one; base 0 is the empty head.
struct HeadReply
{
  Revision mRevision = 0;
  Revision mBase = 0;
  std::string mDigest; ///< Of the whole head.
  std::vector<PartDigest> mChanged;
  std::vector<std::string> mRemoved;
  auto operator<=>(const HeadReply&) const = default;
};

/// Asks for a part's bytes.
struct PartRequest
{
  std::string mDigest;
  auto operator<=>(const PartRequest&) const = default;
};

/// A part's bytes.
struct PartReply
{
  std::string mDigest;
  bool mFound = false;
  std::string mBody;
  auto operator<=>(const PartReply&) const = default;
};

/// Backend servers broke while they ran this content alone.
struct CrashReport
{
  std::uint64_t mFingerprint = 0;
  int mDeaths = 0;       ///< Seen by the sender.
  Duration mRemaining{}; ///< How long it stays suspected.
  auto operator<=>(const CrashReport&) const = default;
};

/// A placement that runs, whoever made it.
struct PlacementKept
{
  PlaceRequest mPlace;
  ServerName mServer;
  auto operator<=>(const PlacementKept&) const = default;
};

/// All placements that a scheduler has made or taken over for the sender. Mends
/// what a broken connection or a change of schedulers has lost.
struct PlacementsKept
{
  std::vector<PlacementKept> mKept;
  auto operator<=>(const PlacementsKept&) const = default;
};

/// One item that operators or replicas have published.
struct PublishedItem
{
  std::string mKey;
  std::string mValue;
  Revision mRevision = 0; ///< Of its last change.
  bool mIsDeleted = false;
  auto operator<=>(const PublishedItem&) const = default;
};

/// Asks for all that lies under a prefix of the platform's store, from a node
/// that the store does not answer.
struct PublishedRequest
{
  std::string mPrefix;
  Revision mHave = 0; ///< As of this revision of the store.
  auto operator<=>(const PublishedRequest&) const = default;
};

/// All items under the prefix, as of a revision of the store.
struct PublishedReply
{
  std::string mPrefix;
  Revision mAt = 0;
  std::vector<PublishedItem> mItems;
  auto operator<=>(const PublishedReply&) const = default;
};

/// What changed under a prefix, from a node that reads the store for others.
struct PublishedNews
{
  std::string mPrefix;
  Revision mFrom = 0; ///< All changes after this one,
  Revision mAt = 0;   ///< up to this one.
  std::vector<PublishedItem> mItems;
  auto operator<=>(const PublishedNews&) const = default;
};

using PeerMessage = std::variant<ForwardRequest,
                                 ForwardAnswer,
                                 PlaceRequest,
                                 Placed,
                                 PlacementQueued,
                                 PlacementRefused,
                                 PlacementProgress,
                                 PlacementEnded,
                                 Probe,
                                 ProbeAck,
                                 ProbeRelay,
                                 ProbeRelayed,
                                 SyncRequest,
                                 SyncReply,
                                 HeadRequest,
                                 HeadReply,
                                 PartRequest,
                                 PartReply,
                                 CrashReport,
                                 PublishedRequest,
                                 PublishedReply,
                                 PlacementsKept,
                                 PublishedNews>;

} // namespace heatherfork
