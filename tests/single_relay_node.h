#pragma once

#include <memory>
#include <string>
#include <vector>

#include "heatherfork/relay_reducer.h"

/// A relay node without I/O, for tests of its decisions.
namespace heatherfork {

inline constexpr Instant kStart{ Milliseconds(1000000) };

inline Route
MakeRoute(const std::string& aPrefix, const std::string& aService)
{
  Route route;
  route.mName = aPrefix;
  route.mHost = "h";
  route.mPrefix = aPrefix;
  route.mTimeout = Milliseconds(5000);
  route.mTarget = Milliseconds(900);
  route.mGapTarget = Milliseconds(300);
  route.mStreamPatience = Milliseconds(3600);
  route.mMaxAttempts = 2;
  route.mShares = { { ServiceName{ aService }, 1 } };
  return route;
}

inline RoutingPtr
SampleRouting(Revision aRevision, Duration aTarget = Milliseconds(900))
{
  auto routing = std::make_shared<Routing>();
  routing->mRevision = aRevision;
  Route nonRepeatable = MakeRoute("/once/", "desk");
  Route repeatable = MakeRoute("/often/", "desk");
  repeatable.mRepeat = RepeatRule::kMayRepeat;
  Route stream = MakeRoute("/stream/", "llm");
  stream.mIsStream = true;
  Route resumable = MakeRoute("/resumable/", "llm");
  resumable.mIsStream = true;
  resumable.mIsResumable = true;
  Route longStream = MakeRoute("/long/", "llm");
  longStream.mIsStream = true;
  longStream.mTimeout = Milliseconds(20000);
  routing->mRoutes = {
    nonRepeatable, repeatable, stream, resumable, longStream
  };
  for (Route& route : routing->mRoutes) {
    route.mTarget = aTarget;
  }
  RoutedService plainService;
  plainService.mName.mValue = "desk";
  RoutedService engineService;
  engineService.mName.mValue = "llm";
  engineService.mIsEngine = true;
  engineService.mTokenCapacity = 100000;
  routing->mServices = { plainService, engineService };
  return routing;
}

inline Replica
MakeReplica(const std::string& aName, const std::string& aService, Role aRole)
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
  return { MakeReplica("d1", "llm", Role::kDecode),
           MakeReplica("d2", "llm", Role::kDecode),
           MakeReplica("p1", "llm", Role::kPrefill),
           MakeReplica("p2", "llm", Role::kPrefill),
           MakeReplica("s1", "desk", Role::kPlain),
           MakeReplica("s2", "desk", Role::kPlain) };
}

/// A single node that the test drives event by event.
class SingleRelayNode
{
public:
  explicit SingleRelayNode(int aRetrySlack = 100,
                           int aShardServers = 32,
                           Duration aTarget = Milliseconds(900))
    : SingleRelayNode(MakeRelaySettings(aRetrySlack),
                      SampleRouting(1, aTarget),
                      aShardServers)
  {
  }

  SingleRelayNode(RelaySettings aSettings,
                  RoutingPtr aRouting,
                  int aShardServers = 32)
    : mReducer(MakeNodeSettings(aShardServers), aSettings)
  {
    Step(TimerFired{});
    Step(RoutingRead{ std::move(aRouting) });
    Step(ReplicasRead{ SampleReplicas() });
  }

  RelayEffects Step(RelayEventBody aBody, Duration aDelay = Milliseconds(1))
  {
    mNow += aDelay;
    mLastEffects = mReducer.Reduce({ mNow, std::move(aBody) });
    return mLastEffects;
  }

  void SendRequest(const std::string& aPath,
                   Duration aTimeLeft = Milliseconds(4000),
                   const std::string& aKeyDigest = "")
  {
    RelayRequest request;
    request.mId = "r";
    request.mHost = "h";
    request.mPath = aPath;
    request.mTimeLeft = aTimeLeft;
    request.mPromptTokens = 1000;
    request.mMaxTokens = 100;
    request.mKeyDigest = aKeyDigest;
    Step(RelayRequestArrived{ ++mCaller, request });
  }

  /// Adds other nodes as alive members.
  void AddNodes(const std::vector<std::string>& aNames)
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

  /// Ends the latest call with a result.
  void EndLatestCall(RelayResult aResult, int aStatus = 0)
  {
    RelayCallEnded ended;
    ended.mCall = LatestCall()->mCall;
    ended.mResult = aResult;
    ended.mStatus = aStatus;
    ended.mCacheId = "kv";
    Step(ended);
  }

  template<class T>
  const T* Find() const
  {
    for (const RelayEffect& effect : mLastEffects) {
      if (const auto* found = std::get_if<T>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  /// The call that the last event started, or else the one returned before.
  const StartCall* LatestCall()
  {
    if (const StartCall* call = Find<StartCall>()) {
      mCall = *call;
    }
    return &mCall;
  }

  RelayReducer mReducer;
  RelayEffects mLastEffects;
  Instant mNow = kStart;
  CallerId mCaller = 0;

private:
  static NodeSettings MakeNodeSettings(int aShardServers)
  {
    NodeSettings settings;
    settings.mPolicy.mScheduling.mShardServers = aShardServers;
    settings.mSelf = { NodeName{ "n" }, 1 };
    settings.mCallerAddress.mValue = "n:80";
    settings.mPeerAddress.mValue = "n:81";
    return settings;
  }
  static RelaySettings MakeRelaySettings(int aRetrySlack)
  {
    RelaySettings settings;
    settings.mRetrySlack = aRetrySlack;
    return settings;
  }

  StartCall mCall;
};

} // namespace heatherfork
