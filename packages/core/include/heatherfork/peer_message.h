#pragma once

#include <string>
#include <variant>
#include <vector>

#include "heatherfork/ids.h"
#include "heatherfork/member.h"
#include "heatherfork/request.h"
#include "heatherfork/server_limit.h"
#include "heatherfork/time.h"

/// Messages between nodes. The codec is in the peer package.
namespace heatherfork {

/// Forwards a request to its home.
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

/// Requests a placement from a shard's scheduler.
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
  std::vector<ServerName> mExcluded; ///< Servers at which this request failed.
  bool mMayWait = false;
  bool mIsolate = false; ///< Crash suspect; must run alone on its server.
  Instant mDeadline{};
  ShardId mShard;       ///< Set by the shard chooser.
  Duration mTimeLeft{}; ///< Until the deadline, as clocks may differ.
  /// Time within which operators want the answer, or its first token; 0: the
  /// target of the settings applies.
  Duration mTarget{};
  /// `Request::mFingerprint`, equal in a retry. Of a suspect, equal for all
  /// requests that must run one at a time.
  std::uint64_t mContentFingerprint = 0;
  /// Equal content was running at a crash; it must not run twice at a time.
  bool mIsSuspect = false;
  auto operator<=>(const PlaceRequest&) const = default;
};

/// The scheduler's choice. Valid until `PlacementEnded`.
struct Placed
{
  AttemptId mAttempt;
  ServerName mPrefill; ///< Empty for a plain call.
  ServerName mServer;  ///< The decode server or the plain service.
  ShardId mShard;
  Duration mDelay{};       ///< Predicted wait for a place in the shard.
  bool mIsLimited = false; ///< A chosen server has named a limit.
  auto operator<=>(const Placed&) const = default;
};

/// The scheduler has queued the request. `Placed` or `PlacementRefused`
/// follows.
struct PlacementQueued
{
  AttemptId mAttempt;
  auto operator<=>(const PlacementQueued&) const = default;
};

/// The scheduler has no capacity for the request before its deadline.
struct PlacementRefused
{
  AttemptId mAttempt;
  Error mError;
  ShardId mShard;
  Duration mDelay{}; ///< Predicted wait for a place in the shard.
  auto operator<=>(const PlacementRefused&) const = default;
};

/// A completed step of an attempt.
enum class PlacementStep : std::uint8_t
{
  kReserved,
  kPrefilled,
  kTransferred,
  kFirstToken,
};

/// Reports the progress of an attempt to its scheduler.
struct PlacementProgress
{
  AttemptId mAttempt;
  PlacementStep mStep = PlacementStep::kReserved;
  Duration mElapsed{}; ///< Duration of this step.
  int mCachedTokens = 0;
  auto operator<=>(const PlacementProgress&) const = default;
};

/// How an attempt ended.
enum class PlacementResult : std::uint8_t
{
  kDone,
  kAbandoned,    ///< Cancelled by the node.
  kServerFailed, ///< The named server failed or refused it.
};

/// Releases a placement.
struct PlacementEnded
{
  AttemptId mAttempt;
  PlacementResult mResult = PlacementResult::kDone;
  ServerName mFailed; ///< For kServerFailed.
  Duration mElapsed{};
  int mTokens = 0;
  auto operator<=>(const PlacementEnded&) const = default;
};

/// Checks whether a node is alive. Carries gossip about other members.
struct Probe
{
  std::uint64_t mNumber = 0;
  Revision mRevision = 0;    ///< Current revision of the sender.
  std::uint64_t mDigest = 0; ///< Of the members alive at the sender.
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

/// Requests that the receiver probe a third node.
struct ProbeRelay
{
  std::uint64_t mNumber = 0;
  NodeId mTarget;
  Address mAddress;
  auto operator<=>(const ProbeRelay&) const = default;
};

/// Reports that the third node has answered the probe.
struct ProbeRelayed
{
  std::uint64_t mNumber = 0;
  NodeId mTarget;
  auto operator<=>(const ProbeRelayed&) const = default;
};

/// Starts an anti-entropy exchange: digests of the alive members, by hash
/// bucket.
struct SyncRequest
{
  std::vector<std::uint64_t> mBuckets;
  auto operator<=>(const SyncRequest&) const = default;
};

/// All members of the buckets that differ, and the buckets requested in return.
struct SyncReply
{
  std::vector<std::uint32_t> mWanted;
  Members mMembers;
  auto operator<=>(const SyncReply&) const = default;
};

/// A configuration part with the digest of its content.
struct PartDigest
{
  std::string mName;
  std::string mDigest; ///< SHA-256 in lower-case hex.
  auto operator<=>(const PartDigest&) const = default;
};

/// Requests the current head, as a difference from a revision.
struct HeadRequest
{
  Revision mKnownRevision = 0;
  auto operator<=>(const HeadRequest&) const = default;
};

/// A head as the difference from a base. Base 0 is the empty head.
struct HeadReply
{
  Revision mRevision = 0;
  Revision mBase = 0;
  std::string mDigest; ///< Of the complete head.
  std::vector<PartDigest> mChanged;
  std::vector<std::string> mRemoved;
  auto operator<=>(const HeadReply&) const = default;
};

/// Requests the content of a part.
struct PartRequest
{
  std::string mDigest;
  auto operator<=>(const PartRequest&) const = default;
};

/// The content of a part.
struct PartReply
{
  std::string mDigest;
  bool mFound = false;
  std::string mBody;
  auto operator<=>(const PartReply&) const = default;
};

/// Reports a crash suspect and the crashes during its isolated runs.
struct CrashReport
{
  std::uint64_t mFingerprint = 0;
  int mCrashCount = 0;   ///< Seen by the sender.
  Duration mRemaining{}; ///< Time until it is no longer a suspect.
  auto operator<=>(const CrashReport&) const = default;
};

/// Content of a request that was running when a replica crashed.
struct CrashedRequest
{
  std::uint64_t mFingerprint = 0;    ///< Of the whole request.
  std::vector<std::uint64_t> mParts; ///< Of the prompt, which others may share.
  bool mRanAlone = false; ///< Ran once at a time, after an earlier crash.
  auto operator<=>(const CrashedRequest&) const = default;
};

/// What was running at a crash. Nodes merge the records of one crash.
struct CrashRecord
{
  std::uint64_t mCrash = 0; ///< Equal in all records of one crash.
  Duration mAge{};          ///< As known to the sender.
  std::vector<CrashedRequest> mRequests;
  std::vector<std::uint64_t> mSound; ///< Of their content, answered since.
  auto operator<=>(const CrashRecord&) const = default;
};

/// A crash record that the sender has.
struct KnownCrash
{
  std::uint64_t mCrash = 0;
  std::uint64_t mDigest = 0; ///< Of the record without its age.
  auto operator<=>(const KnownCrash&) const = default;
};

/// Evidence about content that may crash replicas. Content is a prompt part, by
/// its id, or a whole request, by its fingerprint.
struct ContentReport
{
  std::vector<CrashRecord> mCrashes;
  std::vector<std::uint64_t> mSound; ///< Was answered completely.
  bool mIsList = false; ///< mKnown lists the records that the sender has.
  std::vector<KnownCrash> mKnown;
  auto operator<=>(const ContentReport&) const = default;
};

/// Limits that the sender has received from servers.
struct LimitReport
{
  std::vector<ServerLimit> mLimits;
  auto operator<=>(const LimitReport&) const = default;
};

/// An incarnation of a server that is leaving.
struct LeavingServer
{
  ServerName mServer;
  std::int64_t mStartedAt = 0; ///< `Replica::mStartedAt`: its incarnation.
  auto operator<=>(const LeavingServer&) const = default;
};

/// Servers whose answers say that they are leaving.
struct LeavingReport
{
  std::vector<LeavingServer> mServers;
  auto operator<=>(const LeavingReport&) const = default;
};

/// A running placement, made by any scheduler.
struct PlacementKept
{
  PlaceRequest mPlace;
  ServerName mServer;
  auto operator<=>(const PlacementKept&) const = default;
};

/// All placements that the receiving scheduler has made or taken over for the
/// sender. Restores state after a lost connection or a change of schedulers.
struct PlacementsKept
{
  std::vector<PlacementKept> mKept;
  auto operator<=>(const PlacementsKept&) const = default;
};

/// An item published by operators or replicas.
struct PublishedItem
{
  std::string mKey;
  std::string mValue;
  Revision mRevision = 0; ///< Of its last change.
  bool mIsDeleted = false;
  auto operator<=>(const PublishedItem&) const = default;
};

/// Requests all items under a prefix of the platform's store. Sent by a node
/// that the store does not answer.
struct PublishedRequest
{
  std::string mPrefix;
  Revision mKnownRevision = 0; ///< The store revision that the sender has.
  StoreEra mKnownEra = 0;
  auto operator<=>(const PublishedRequest&) const = default;
};

/// All items under the prefix at a store revision.
struct PublishedReply
{
  std::string mPrefix;
  Revision mAt = 0;
  std::vector<PublishedItem> mItems;
  StoreEra mEra = 0;
  auto operator<=>(const PublishedReply&) const = default;
};

/// Changes under a prefix, from a node that reads the store for others.
struct PublishedNews
{
  std::string mPrefix;
  Revision mFrom = 0; ///< Changes after this revision,
  Revision mAt = 0;   ///< up to this revision.
  std::vector<PublishedItem> mItems;
  StoreEra mEra = 0;
  auto operator<=>(const PublishedNews&) const = default;
};

/// Asks a node how long ago the store confirmed the routes that it has. The
/// sender counts the answer's age from its own question.
struct KeyProofRequest
{
  std::uint64_t mNumber = 0;
  auto operator<=>(const KeyProofRequest&) const = default;
};

/// Answers a KeyProofRequest; sent only if the routes were confirmed.
struct KeyProofReply
{
  std::uint64_t mNumber = 0;
  Revision mRevision = 0; ///< Of the routes that were confirmed.
  Duration mAge{};        ///< Since the question to the store was sent.
  auto operator<=>(const KeyProofReply&) const = default;
};

/// Units of a workspace's quota that the sender wants, or gives back.
struct QuotaNeed
{
  WorkspaceName mWorkspace;
  std::int64_t mWanted = 0;   ///< For requests that wait.
  std::int64_t mSmallest = 0; ///< Of these requests.
  std::int64_t mAhead = 0;    ///< In addition, for requests to come.
  std::int64_t mReturned = 0; ///< Lent by the receiver and not used.
  auto operator<=>(const QuotaNeed&) const = default;
};

/// Asks the node that owns the quotas of some workspaces for credit.
struct QuotaRequest
{
  std::uint64_t mNumber = 0;
  std::vector<QuotaNeed> mNeeds;
  auto operator<=>(const QuotaRequest&) const = default;
};

/// Units of a workspace's quota that the receiver may use.
struct QuotaCredit
{
  WorkspaceName mWorkspace;
  std::int64_t mUnits = 0;
  Duration mLifetime{}; ///< Of the units.
  Duration mWait{};     ///< Until more can be had; 0: all that was wanted.
  Duration mBacklog{};  ///< Until all that was asked for can be had.
  auto operator<=>(const QuotaCredit&) const = default;
};

/// Answers a QuotaRequest.
struct QuotaGrant
{
  std::uint64_t mNumber = 0;
  std::vector<QuotaCredit> mCredits;
  auto operator<=>(const QuotaGrant&) const = default;
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
                                 PublishedNews,
                                 ContentReport,
                                 LimitReport,
                                 LeavingReport,
                                 KeyProofRequest,
                                 KeyProofReply,
                                 QuotaRequest,
                                 QuotaGrant>;

} // namespace heatherfork
