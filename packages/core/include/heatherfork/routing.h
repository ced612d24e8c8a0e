#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "heatherfork/configuration.h"
#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// Routes of opaque requests, and the replicas that serve them, as checked
/// values.
namespace heatherfork {

/// What may be done twice with a request of a route.
enum class RepeatRule : std::uint8_t
{
  kMayRepeat,
  kMustNotRepeat,
};

/// One service of a route and its share of the route's requests.
struct RouteShare
{
  ServiceName mService;
  int mWeight = 1;

  auto operator<=>(const RouteShare&) const = default;
};

/// Where the requests of one host and path prefix go.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< Begins and ends with a slash.
  RepeatRule mRepeat = RepeatRule::kMustNotRepeat;
  bool mIsStream = false;  ///< The answer is a series of events.
  bool mResumable = false; ///< A stream may go on after a given event.
  Duration mTimeout{};     ///< The longest time that a caller is kept waiting.
  Duration mTarget{};      ///< For the whole answer; a stream's first event.
  Duration mGapTarget{};   ///< Longest pause between two events.
  int mMaxAttempts = 1;    ///< Replicas that may run one request.
  int mRank = 0;           ///< 0 is the most urgent.
  std::vector<RouteShare> mShares;

  auto operator<=>(const Route&) const = default;
};

/// One service behind the routes.
struct RoutedService
{
  ServiceName mName;
  int mMaxConnections = 0; ///< At one replica, of all nodes together.
  bool mIsEngine = false;  ///< Prefill and decode replicas.
  int mTokenCapacity = 0;  ///< KV cache of one replica, in tokens.

  auto operator<=>(const RoutedService&) const = default;
};

/// What a caller may send, and how slowly.
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
  CallerLimits mLimits;

  auto operator<=>(const Routing&) const = default;
};

using RoutingPtr = std::shared_ptr<const Routing>;

/// One replica as it describes itself.
struct Replica
{
  ServerName mName;
  ServiceName mService;
  Address mAddress;
  ZoneName mZone;
  Role mRole = Role::kPlain;
  int mSlots = 0;
  bool mLeaving = false;
  std::int64_t mBorn = 0; ///< Start of this life, in Unix milliseconds.

  auto operator<=>(const Replica&) const = default;
};

/// All replicas, ordered by name.
using Replicas = std::vector<Replica>;

/// Null when there is no such replica. Logarithmic.
const Replica*
FindReplica(const Replicas& aReplicas, const ServerName& aName);

/// A part of a prompt that other requests may share.
struct PromptPart
{
  std::uint64_t mId = 0;
  int mTokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

/// An opaque request as far as decisions need it.
struct RelayRequest
{
  std::string mId; ///< The caller's id of this attempt.
  std::string mHost;
  std::string mPath; ///< Without the query.
  Duration mLeft{};  ///< How long the caller waits; 0 when it does not say.
  int mPromptTokens = 0;
  int mMaxTokens = 0;
  int mLikelyTokens = 0; ///< The caller's guess; 0 when it made none.
  std::vector<PromptPart> mParts;
  bool mResumes = false;          ///< Goes on after an event that it names.
  std::uint64_t mFingerprint = 0; ///< Of path and content.

  auto operator<=>(const RelayRequest&) const = default;
};

} // namespace heatherfork
