#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "heatherfork/ids.h"
#include "heatherfork/time.h"

/// The operators' configuration as checked values.
namespace heatherfork {

/// Rules for one class of work.
struct WorkClass
{
  ClassName mName;
  bool mMayWait = false;
  bool mMustNotRepeat = false;
  Duration mDeadline{}; ///< Used when the caller names none.
  int mPriority = 0;    ///< Larger is served first.

  auto operator<=>(const WorkClass&) const = default;
};

/// A model, the version in force and the adapters that may be asked for.
struct Model
{
  ModelName mName;
  VersionName mVersion;
  std::vector<AdapterName> mAdapters;
  ClassName mDefaultClass;
  /// Share of traffic for a next version, 0 to 100 percent.
  VersionName mNextVersion;
  int mNextShare = 0;

  auto operator<=>(const Model&) const = default;
};

/// What a backend server does.
enum class Role : std::uint8_t
{
  kPrefill,
  kDecode,
  kPlain,
};

/// One backend server as the operators declare it.
struct BackendServer
{
  ServerName mName;
  Address mAddress;
  ZoneName mZone;
  Role mRole = Role::kPlain;
  int mSlots = 0;              ///< Requests at once.
  int mPieces = 0;             ///< Engine memory, in pieces of KV cache.
  bool mChecksFencing = false; ///< Refuses an order with an old number.
  bool mLeaving = false;       ///< Gets no new work.

  auto operator<=>(const BackendServer&) const = default;
};

/// Backend servers that serve one model or one plain service.
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

/// One call of a plain service and its class.
struct ServiceCall
{
  ServiceName mService;
  std::string mCall;
  ClassName mClass;

  auto operator<=>(const ServiceCall&) const = default;
};

/// A workspace, its key's digest and its limits.
struct Workspace
{
  WorkspaceName mName;
  std::string mKeyDigest; ///< SHA-256 of the key, in lower-case hex.
  int mMaxInFlight = 0;   ///< Requests at one node.
  int mWeight = 1;        ///< Share when the queue is contended.

  auto operator<=>(const Workspace&) const = default;
};

/// Limits for the whole system.
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

/// Look-ups; null when there is no such item. Linear in the list's length.
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
