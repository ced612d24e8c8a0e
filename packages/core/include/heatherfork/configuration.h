#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// The validated configuration.
namespace heatherfork {

/// Scheduling rules for one class of work.
struct WorkClass
{
  ClassName mName;
  bool mMayWait = false;
  bool mMustNotRepeat = false;
  Duration mDeadline{}; ///< Used when the caller gives none.
  int mPriority = 0;    ///< Larger values are served first.

  auto operator<=>(const WorkClass&) const = default;
};

/// A model with its current version and available adapters.
struct Model
{
  ModelName mName;
  VersionName mVersion;
  std::vector<AdapterName> mAdapters;
  ClassName mDefaultClass;
  /// Traffic share of the next version, in percent.
  VersionName mNextVersion;
  int mNextShare = 0;

  auto operator<=>(const Model&) const = default;
};

/// Role of a backend server.
enum class Role : std::uint8_t
{
  kPrefill,
  kDecode,
  kPlain,
};

/// Static properties of one backend server.
struct BackendServer
{
  ServerName mName;
  Address mAddress;
  ZoneName mZone;
  Role mRole = Role::kPlain;
  int mSlots = 0;              ///< Concurrent requests.
  int mPieces = 0;             ///< Engine memory, in units of KV cache pieces.
  bool mChecksFencing = false; ///< Rejects orders with a stale fencing number.
  bool mLeaving = false;       ///< Receives no new work.

  auto operator<=>(const BackendServer&) const = default;
};

/// A group of backend servers for one model or one plain service.
struct Pool
{
  PoolName mName;
  ModelName mModel;     ///< Empty for a plain service.
  ServiceName mService; ///< Empty for a model.
  int mMinimumPrefill = 0;
  int mMinimumDecode = 0;
  std::vector<BackendServer> mServers;

  auto operator<=>(const Pool&) const = default;
};

/// A call of a plain service and its class of work.
struct ServiceCall
{
  ServiceName mService;
  std::string mCall;
  ClassName mClass;

  auto operator<=>(const ServiceCall&) const = default;
};

/// A workspace with its key digest and limits.
struct Workspace
{
  WorkspaceName mName;
  std::string mKeyDigest; ///< SHA-256 of the key, in lower-case hex.
  int mMaxInFlight = 0;   ///< Concurrent requests per node.
  int mWeight = 1;        ///< Relative share under contention.

  auto operator<=>(const Workspace&) const = default;
};

/// System-wide limits.
struct Limits
{
  Duration mEntriesValidity = Milliseconds(5000);
  Duration mRecordRetention = Milliseconds(600000);
  std::size_t mMaxRecords = 100000;
  std::size_t mMaxQueued = 10000;
  Duration mResultLifetime = Milliseconds(800);
  int mTokensPerPiece = 2000;
  int mWeightLoadsAtOnce = 2;

  auto operator<=>(const Limits&) const = default;
};

/// One revision of the configuration.
struct Configuration
{
  Revision mRevision = 0;
  std::vector<WorkClass> mClasses;
  std::vector<Model> mModels;
  std::vector<Pool> mPools;
  std::vector<ServiceCall> mCalls;
  std::vector<Workspace> mWorkspaces;
  Limits mLimits;

  auto operator<=>(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Lookups return null when nothing matches. Linear in the list length.
const WorkClass*
FindClass(const Configuration& aConfiguration, const ClassName& aName);
const Model*
FindModel(const Configuration& aConfiguration, const ModelName& aName);
const Workspace*
FindWorkspace(const Configuration& aConfiguration, const WorkspaceName& aName);
const ServiceCall*
FindCall(const Configuration& aConfiguration,
         const ServiceName& aService,
         const std::string& aCall);
const BackendServer*
FindServer(const Configuration& aConfiguration, const ServerName& aName);

} // namespace heatherfork
