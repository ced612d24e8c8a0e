#pragma once

#include <memory>
#include <optional>
#include <string>

#include "heatherfork/detail/scheduling/predictive_scheduler.h"

/// Fixture for tests of the scheduler of one node.
namespace heatherfork {

using detail::Context;
using detail::PredictiveScheduler;

inline const Instant kStart{ Milliseconds(1000000) };
inline const NodeId kEntry{ NodeName{ "entry" }, 7 };

inline BackendServer
MakeServer(const std::string& aName, Role aRole, int aSlots, int aPieces)
{
  BackendServer server;
  server.mName = ServerName{ aName };
  server.mZone = ZoneName{ "zone-a" };
  server.mRole = aRole;
  server.mSlots = aSlots;
  server.mPieces = aPieces;
  return server;
}

inline Configuration
MakeConfiguration(int aPrefill, int aDecode, int aSlots)
{
  Configuration configuration;
  configuration.mRevision = 1;
  configuration.mClasses = {
    { ClassName{ "prompt" }, false, false, Milliseconds(10000), 10 },
    { ClassName{ "summary" }, true, false, Milliseconds(60000), 0 },
  };
  Pool pool;
  pool.mName = PoolName{ "pool" };
  pool.mModel = ModelName{ "model" };
  for (int n = 0; n < aPrefill; ++n) {
    pool.mServers.push_back(
      MakeServer("p" + std::to_string(n), Role::kPrefill, 16, 0));
  }
  for (int n = 0; n < aDecode; ++n) {
    pool.mServers.push_back(
      MakeServer("d" + std::to_string(n), Role::kDecode, aSlots, 100));
  }
  configuration.mPools = { pool };
  return configuration;
}

/// The scheduler of one node and its recorded effects.
struct SchedulerFixture
{
  explicit SchedulerFixture(Configuration aConfiguration)
  {
    mSettings.mSelf = NodeId{ NodeName{ "self" }, 1 };
    SetConfiguration(std::move(aConfiguration));
  }

  void SetConfiguration(Configuration aConfiguration)
  {
    mConfiguration =
      std::make_shared<const Configuration>(std::move(aConfiguration));
  }

  Context MakeContext()
  {
    return Context{ mSettings, mNow,     mConfiguration, mMembers,
                    mRandom,   mEffects, mToSelf };
  }

  template<class Message>
  void Send(const Message& aMessage)
  {
    Context context = MakeContext();
    mScheduler.On(context, kEntry, aMessage);
  }

  void Tick(Duration aLater)
  {
    mNow += aLater;
    Context context = MakeContext();
    mScheduler.On(context, TimerFired{});
  }

  void NodeGone()
  {
    Context context = MakeContext();
    mScheduler.OnNodeGone(context, kEntry);
  }

  PlaceRequest MakeRequest(std::uint64_t aNumber,
                           int aPromptTokens = 1000) const
  {
    PlaceRequest place;
    place.mAttempt = AttemptId{ 7, aNumber };
    place.mModel = ModelName{ "model" };
    place.mWorkspace = WorkspaceName{ "tenant" };
    place.mClass = ClassName{ "prompt" };
    place.mPromptTokens = aPromptTokens;
    place.mMaxTokens = 100;
    place.mDeadline = mNow + Milliseconds(10000);
    return place;
  }

  void Step(std::uint64_t aNumber, PlacementStep aStep, Duration aTook)
  {
    mNow += aTook;
    Send(PlacementProgress{ AttemptId{ 7, aNumber }, aStep, aTook, 0 });
  }

  void End(std::uint64_t aNumber)
  {
    Send(PlacementEnded{ AttemptId{ 7, aNumber } });
  }

  template<class Message>
  std::optional<Message> LastSent(std::uint64_t aNumber) const
  {
    std::optional<Message> found;
    for (const Effect& effect : mEffects) {
      const auto* sent = std::get_if<SendToPeer>(&effect);
      const auto* message =
        sent == nullptr ? nullptr : std::get_if<Message>(&sent->mMessage);
      if (message != nullptr && message->mAttempt.mSequence == aNumber) {
        found = *message;
      }
    }
    return found;
  }

  std::string OutcomeOf(std::uint64_t aNumber) const
  {
    if (const auto placed = LastSent<Placed>(aNumber)) {
      return "placed";
    }
    if (const auto refused = LastSent<PlacementRefused>(aNumber)) {
      return std::string(InfoOf(refused->mError.mCode).mIdentifier);
    }
    return LastSent<PlacementQueued>(aNumber) ? "queued" : "nothing";
  }

  NodeSettings mSettings;
  Instant mNow = kStart;
  ConfigurationPtr mConfiguration;
  Members mMembers;
  std::mt19937_64 mRandom{ 1 };
  Effects mEffects;
  std::deque<PeerMessage> mToSelf;
  PredictiveScheduler mScheduler;
};

} // namespace heatherfork
