#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// Validated routes of opaque requests and the replicas that serve them.
namespace heatherfork {

/// Whether a request of a route may be repeated.
enum class RepeatRule : std::uint8_t
{
  kMayRepeat,
  kMustNotRepeat,
};

/// A service of a route and its share of the requests.
struct RouteShare
{
  ServiceName mService;
  int mWeight = 1;

  auto operator<=>(const RouteShare&) const = default;
};

/// Route for the requests of one host and path prefix.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< Starts and ends with a slash.
  RepeatRule mRepeat = RepeatRule::kMustNotRepeat;
  bool mIsStream = false;    ///< The response is a stream of events.
  bool mIsResumable = false; ///< Streams may resume after a given event.
  Duration mTimeout{};       ///< Maximum time that a caller waits.
  Duration mTarget{};    ///< For the response; for streams, the first event.
  Duration mGapTarget{}; ///< Maximum time between two events.
  /// Callers leave a stream without an event for so long; 0 if not known.
  Duration mStreamPatience{};
  int mMaxAttempts = 1; ///< Maximum number of replicas that run one request.
  int mRank = 0;        ///< 0 is the highest priority.
  bool mIsAnonymous = false; ///< Needs no key where workspaces have keys.
  std::vector<RouteShare> mShares;

  auto operator<=>(const Route&) const = default;
};

/// A service that routes refer to.
struct RoutedService
{
  ServiceName mName;
  int mMaxConnections = 0; ///< Per replica, over all nodes.
  bool mIsEngine = false;  ///< Has prefill and decode replicas.
  int mTokenCapacity = 0;  ///< KV-cache size of one replica, in tokens.

  auto operator<=>(const RoutedService&) const = default;
};

/// What a quota counts.
enum class QuotaUnit : std::uint8_t
{
  kRequests,
  kTokens, ///< Prompt tokens and the most output tokens of a request.
};

/// Limit on the requests of a workspace over all nodes.
struct WorkspaceQuota
{
  QuotaUnit mUnit = QuotaUnit::kRequests;
  double mRate = 0;     ///< Units a second; 0: no limit.
  double mBurst = 0;    ///< Units on top of the rate.
  int mPlainTokens = 0; ///< Of a request that names no tokens.

  auto operator<=>(const WorkspaceQuota&) const = default;
};

/// A workspace of opaque requests.
struct RoutedWorkspace
{
  WorkspaceName mName;
  std::vector<std::string> mKeyDigests; ///< SHA-256, in lower-case hex.
  std::optional<int> mRank;             ///< Precedes the route's rank.
  WorkspaceQuota mQuota;

  auto operator<=>(const RoutedWorkspace&) const = default;
};

/// Size limits and timeouts of caller connections.
struct CallerLimits
{
  std::size_t mMaxHeaderBytes = 16384;
  std::size_t mMaxBodyBytes = std::size_t{ 4 } << 20;
  Duration mHeaderTimeout = Milliseconds(3000);
  Duration mIdleTimeout = Milliseconds(15000);

  auto operator<=>(const CallerLimits&) const = default;
};

/// One revision of routes, services and limits.
struct Routing
{
  Revision mRevision = 0;
  std::vector<Route> mRoutes;
  std::vector<RoutedService> mServices;
  bool mNeedsKeys = false; ///< Requests need the key of a workspace.
  std::vector<RoutedWorkspace> mWorkspaces;
  CallerLimits mLimits;

  auto operator<=>(const Routing&) const = default;
};

using RoutingPtr = std::shared_ptr<const Routing>;

/// A replica as described by its own registration.
struct Replica
{
  ServerName mName;
  ServiceName mService;
  Address mAddress;
  ZoneName mZone;
  Role mRole = Role::kPlain;
  int mSlots = 0;
  bool mLeaving = false;
  std::int64_t mStartedAt =
    0; ///< Start of this incarnation, in Unix milliseconds.

  auto operator<=>(const Replica&) const = default;
};

/// All replicas, ordered by name.
using Replicas = std::vector<Replica>;

/// Returns null for an unknown replica. Logarithmic.
const Replica*
FindReplica(const Replicas& aReplicas, const ServerName& aName);

/// A prompt segment that other requests may share.
struct PromptPart
{
  std::uint64_t mId = 0;
  int mTokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

/// The properties of an opaque request that decisions depend on.
struct RelayRequest
{
  std::string mId; ///< The caller's id of this attempt.
  std::string mHost;
  std::string mPath;      ///< Without the query.
  Duration mTimeLeft{};   ///< Time that the caller still waits; 0 if not given.
  std::string mKeyDigest; ///< SHA-256 of the caller's key; empty without one.
  int mPromptTokens = 0;
  int mMaxTokens = 0;
  bool mNamesTokens = false; ///< The caller gave both counts.
  int mExpectedTokens = 0;   ///< Estimate of the caller; 0 if not given.
  std::vector<PromptPart> mParts;
  bool mIsResume = false;         ///< Resumes a stream after a given event.
  std::uint64_t mFingerprint = 0; ///< Of method, host, target and content.

  auto operator<=>(const RelayRequest&) const = default;
};

} // namespace heatherfork
