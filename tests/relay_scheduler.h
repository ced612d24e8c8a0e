#pragma once

#include "heatherfork/detail/relay/pools.h"
#include "heatherfork/detail/scheduling/predictive_scheduler.h"

#include <CppUTest/TestHarness.h>

/// A scheduler without I/O, for the tests of its decisions.
namespace heatherfork {

using detail::Context;

inline const NodeId kNode{ NodeName{ "entry" }, 7 };
inline constexpr int kTokensOfReplica = 10000;
inline constexpr int kPrompt = 4000; // Two fit into a replica, three do not.

/// A scheduler of one engine service with one prefill and one decode replica.
class Fixture
{
public:
  Fixture()
  {
    Routing routing;
    routing.mRevision = 1;
    RoutedService service;
    service.mName.mValue = "llm";
    service.mIsEngine = true;
    service.mTokenCapacity = kTokensOfReplica;
    routing.mServices = { service };
    Replica decode;
    decode.mName.mValue = "d";
    decode.mService = service.mName;
    decode.mRole = Role::kDecode;
    decode.mSlots = 48;
    Replica prefill = decode;
    prefill.mName.mValue = "p";
    prefill.mRole = Role::kPrefill;
    mConfiguration = detail::PoolsOf(routing, { decode, prefill });
    mSettings.mSelf = kNode;
  }

  template<class Call>
  void Do(Duration aAfter, const Call& aCall)
  {
    mNow += aAfter;
    mToSelf.clear();
    Effects effects;
    Context context{ mSettings, mNow,    mConfiguration, mMembers,
                     mRandom,   effects, mToSelf };
    aCall(context);
  }

  PlaceRequest Request(std::uint64_t aNumber, Duration aTarget)
  {
    PlaceRequest place;
    place.mAttempt = { kNode.mIncarnation, aNumber };
    place.mModel.mValue = "llm";
    place.mPromptTokens = kPrompt;
    place.mDeadline = mNow + Milliseconds(9000);
    place.mTarget = aTarget;
    place.mContent = aNumber;
    return place;
  }

  void Place(const PlaceRequest& aPlace)
  {
    Do(Milliseconds(1),
       [&](Context& aContext) { mScheduler.On(aContext, kNode, aPlace); });
  }

  void Tick(Duration aAfter)
  {
    Do(aAfter,
       [&](Context& aContext) { mScheduler.On(aContext, TimerFired{}); });
  }

  template<class T>
  const T* Told() const
  {
    for (const PeerMessage& message : mToSelf) {
      if (const auto* told = std::get_if<T>(&message)) {
        return told;
      }
    }
    return nullptr;
  }

  void PlaceAndPrefill(std::uint64_t aNumber)
  {
    const PlaceRequest place = Request(aNumber, Milliseconds(900));
    Place(place);
    CHECK(Told<Placed>() != nullptr);
    Do(Milliseconds(100), [&](Context& aContext) {
      mScheduler.On(aContext,
                    kNode,
                    PlacementProgress{ place.mAttempt,
                                       PlacementStep::kPrefilled,
                                       Milliseconds(100) });
    });
  }

  NodeSettings mSettings;
  ConfigurationPtr mConfiguration;
  Members mMembers;
  std::mt19937_64 mRandom{ 1 };
  std::deque<PeerMessage> mToSelf;
  Instant mNow{ Milliseconds(1000000) };
  detail::PredictiveScheduler mScheduler;
};

} // namespace heatherfork
