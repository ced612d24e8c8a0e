#pragma once

#include <memory>
#include <string>
#include <vector>

#include "heatherfork/relay_reducer.h"

/// A relaying node without I/O, for the tests of its decisions.
namespace heatherfork {

inline constexpr Instant kStart{ Milliseconds(1000000) };

inline Route
RouteOf(const std::string& aPrefix, const std::string& aService)
{
  Route route;
  route.mName = aPrefix;
  route.mHost = "h";
  route.mPrefix = aPrefix;
  route.mTimeout = Milliseconds(5000);
  route.mTarget = Milliseconds(900);
  route.mGapTarget = Milliseconds(300);
  route.mMaxAttempts = 2;
  route.mShares = { { ServiceName{ aService }, 1 } };
  return route;
}

inline RoutingPtr
SampleRouting(Revision aRevision)
{
  auto routing = std::make_shared<Routing>();
  routing->mRevision = aRevision;
  Route once = RouteOf("/once/", "desk");
  Route often = RouteOf("/often/", "desk");
  often.mRepeat = RepeatRule::kMayRepeat;
  Route stream = RouteOf("/stream/", "llm");
  stream.mIsStream = true;
  Route resumable = RouteOf("/resumable/", "llm");
  resumable.mIsStream = true;
  resumable.mResumable = true;
  Route longer = RouteOf("/long/", "llm");
  longer.mIsStream = true;
  longer.mTimeout = Milliseconds(20000);
  routing->mRoutes = { once, often, stream, resumable, longer };
  RoutedService desk;
  desk.mName.mValue = "desk";
  RoutedService llm;
  llm.mName.mValue = "llm";
  llm.mIsEngine = true;
  llm.mTokenCapacity = 100000;
  routing->mServices = { desk, llm };
  return routing;
}

inline Replica
ReplicaOf(const std::string& aName, const std::string& aService, Role aRole)
{
  Replica replica;
  replica.mName.mValue = aName;
  replica.mService.mValue = aService;
  replica.mAddress.mValue = aName + ":1";
  replica.mRole = aRole;
  replica.mSlots = 4;
  return replica;
}

inline Replicas
SampleReplicas()
{
  return { ReplicaOf("d1", "llm", Role::kDecode),
           ReplicaOf("d2", "llm", Role::kDecode),
           ReplicaOf("p1", "llm", Role::kPrefill),
           ReplicaOf("p2", "llm", Role::kPrefill),
           ReplicaOf("s1", "desk", Role::kPlain),
           ReplicaOf("s2", "desk", Role::kPlain) };
}

/// One node alone, driven by hand.
class Alone
{
public:
  explicit Alone(int aRetrySlack = 100, int aShardServers = 32)
    : mReducer(Settings(aShardServers), Relay(aRetrySlack))
  {
    Step(TimerFired{});
    Step(RoutingRead{ SampleRouting(1) });
    Step(ReplicasRead{ SampleReplicas() });
  }

  RelayEffects Step(RelayEventBody aBody, Duration aAfter = Milliseconds(1))
  {
    mNow += aAfter;
    mLast = mReducer.Reduce({ mNow, std::move(aBody) });
    return mLast;
  }

  void Ask(const std::string& aPath, Duration aLeft = Milliseconds(4000))
  {
    RelayRequest request;
    request.mId = "r";
    request.mHost = "h";
    request.mPath = aPath;
    request.mLeft = aLeft;
    request.mPromptTokens = 1000;
    request.mMaxTokens = 100;
    Step(RelayArrived{ ++mCaller, request });
  }

  /// Others serve callers too from now on.
  void Join(const std::vector<std::string>& aNames)
  {
    Probe probe;
    for (const std::string& name : aNames) {
      Member member;
      member.mNode = { NodeName{ name }, 2 };
      member.mCallerAddress.mValue = name + ":80";
      member.mPeerAddress.mValue = name + ":81";
      probe.mGossip.push_back(member);
    }
    Step(PeerReceived{ probe.mGossip[0].mNode, probe });
  }

  /// Ends the newest call.
  void Reply(RelayResult aResult, int aStatus = 0)
  {
    RelayEnded ended;
    ended.mCall = Call()->mCall;
    ended.mResult = aResult;
    ended.mStatus = aStatus;
    ended.mCacheId = "kv";
    Step(ended);
  }

  template<class T>
  const T* Find() const
  {
    for (const RelayEffect& effect : mLast) {
      if (const auto* found = std::get_if<T>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  /// The call that the last event began; the one before stays known.
  const StartCall* Call()
  {
    if (const StartCall* call = Find<StartCall>()) {
      mCall = *call;
    }
    return &mCall;
  }

  RelayReducer mReducer;
  RelayEffects mLast;
  Instant mNow = kStart;
  CallerId mCaller = 0;

private:
  static NodeSettings Settings(int aShardServers)
  {
    NodeSettings settings;
    settings.mPolicy.mScheduling.mShardServers = aShardServers;
    settings.mSelf = { NodeName{ "n" }, 1 };
    settings.mCallerAddress.mValue = "n:80";
    settings.mPeerAddress.mValue = "n:81";
    return settings;
  }
  static RelaySettings Relay(int aRetrySlack)
  {
    RelaySettings settings;
    settings.mRetrySlack = aRetrySlack;
    return settings;
  }

  StartCall mCall;
};

} // namespace heatherfork
