#pragma once

#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/effect.h"
#include "heatherfork/event.h"

/// Field lists of messages, events and effects.
namespace heatherfork::detail::trace {

template<>
inline constexpr auto kFields<ForwardRequest> =
  Fields("ForwardRequest",
         Field{ "forward", &ForwardRequest::mForward },
         Field{ "request", &ForwardRequest::mRequest });

template<>
inline constexpr auto kFields<ForwardAnswer> =
  Fields("ForwardAnswer",
         Field{ "forward", &ForwardAnswer::mForward },
         Field{ "answer", &ForwardAnswer::mAnswer });

template<>
inline constexpr auto kFields<PlaceRequest> =
  Fields("PlaceRequest",
         Field{ "attempt", &PlaceRequest::mAttempt },
         Field{ "kind", &PlaceRequest::mKind },
         Field{ "model", &PlaceRequest::mModel },
         Field{ "service", &PlaceRequest::mService },
         Field{ "tenant", &PlaceRequest::mWorkspace },
         Field{ "class", &PlaceRequest::mClass },
         Field{ "prompt_tokens", &PlaceRequest::mPromptTokens },
         Field{ "max_tokens", &PlaceRequest::mMaxTokens },
         Field{ "prefixes", &PlaceRequest::mPrefixes },
         Field{ "excluded", &PlaceRequest::mExcluded },
         Field{ "may_wait", &PlaceRequest::mMayWait },
         Field{ "isolate", &PlaceRequest::mIsolate },
         Field{ "deadline", &PlaceRequest::mDeadline },
         Field{ "shard", &PlaceRequest::mShard },
         Field{ "time_left", &PlaceRequest::mTimeLeft },
         Field{ "target", &PlaceRequest::mTarget },
         Field{ "content", &PlaceRequest::mContentFingerprint },
         Field{ "suspect", &PlaceRequest::mIsSuspect });

template<>
inline constexpr auto kFields<PlacementKept> =
  Fields("PlacementKept",
         Field{ "place", &PlacementKept::mPlace },
         Field{ "server", &PlacementKept::mServer });

template<>
inline constexpr auto kFields<PlacementsKept> =
  Fields("PlacementsKept", Field{ "kept", &PlacementsKept::mKept });

template<>
inline constexpr auto kFields<Placed> =
  Fields("Placed",
         Field{ "attempt", &Placed::mAttempt },
         Field{ "prefill", &Placed::mPrefill },
         Field{ "server", &Placed::mServer },
         Field{ "shard", &Placed::mShard },
         Field{ "delay", &Placed::mDelay },
         Field{ "limited", &Placed::mIsLimited });

template<>
inline constexpr auto kFields<CrashReport> =
  Fields("CrashReport",
         Field{ "fingerprint", &CrashReport::mFingerprint },
         Field{ "deaths", &CrashReport::mCrashCount },
         Field{ "remaining", &CrashReport::mRemaining });

template<>
inline constexpr auto kFields<PlacementQueued> =
  Fields("PlacementQueued", Field{ "attempt", &PlacementQueued::mAttempt });

template<>
inline constexpr auto kFields<PlacementRefused> =
  Fields("PlacementRefused",
         Field{ "attempt", &PlacementRefused::mAttempt },
         Field{ "error", &PlacementRefused::mError },
         Field{ "shard", &PlacementRefused::mShard },
         Field{ "delay", &PlacementRefused::mDelay });

template<>
inline constexpr auto kFields<PlacementProgress> =
  Fields("PlacementProgress",
         Field{ "attempt", &PlacementProgress::mAttempt },
         Field{ "step", &PlacementProgress::mStep },
         Field{ "took", &PlacementProgress::mElapsed },
         Field{ "cached_tokens", &PlacementProgress::mCachedTokens });

template<>
inline constexpr auto kFields<PlacementEnded> =
  Fields("PlacementEnded",
         Field{ "attempt", &PlacementEnded::mAttempt },
         Field{ "result", &PlacementEnded::mResult },
         Field{ "failed", &PlacementEnded::mFailed },
         Field{ "took", &PlacementEnded::mElapsed },
         Field{ "tokens", &PlacementEnded::mTokens });

template<>
inline constexpr auto kFields<CallerRequested> =
  Fields("CallerRequested",
         Field{ "caller", &CallerRequested::mCaller },
         Field{ "request", &CallerRequested::mRequest });

template<>
inline constexpr auto kFields<CallerGone> =
  Fields("CallerGone", Field{ "caller", &CallerGone::mCaller });

template<>
inline constexpr auto kFields<ServerReplied> =
  Fields("ServerReplied",
         Field{ "attempt", &ServerReplied::mAttempt },
         Field{ "server", &ServerReplied::mServer },
         Field{ "call", &ServerReplied::mCall },
         Field{ "reply", &ServerReplied::mReply });

template<>
inline constexpr auto kFields<TokensReceived> =
  Fields("TokensReceived",
         Field{ "attempt", &TokensReceived::mAttempt },
         Field{ "offset", &TokensReceived::mOffset },
         Field{ "count", &TokensReceived::mCount },
         Field{ "text", &TokensReceived::mText });

template<>
inline constexpr auto kFields<ReportReceived> =
  Fields("ReportReceived",
         Field{ "server", &ReportReceived::mServer },
         Field{ "report", &ReportReceived::mReport });

template<>
inline constexpr auto kFields<PeerReceived> =
  Fields("PeerReceived",
         Field{ "from", &PeerReceived::mFrom },
         Field{ "message", &PeerReceived::mMessage });

template<>
inline constexpr auto kFields<PeerLost> =
  Fields("PeerLost", Field{ "peer", &PeerLost::mPeer });

template<>
inline constexpr auto kFields<ConfigurationChecked> =
  Fields("ConfigurationChecked",
         Field{ "configuration", &ConfigurationChecked::mConfiguration });

template<>
inline constexpr auto kFields<TimerFired> = Fields("TimerFired");

template<>
inline constexpr auto kFields<StopRequested> = Fields("StopRequested");

template<>
inline constexpr auto kFields<AnswerCaller> =
  Fields("AnswerCaller",
         Field{ "caller", &AnswerCaller::mCaller },
         Field{ "answer", &AnswerCaller::mAnswer });

template<>
inline constexpr auto kFields<SendTokens> =
  Fields("SendTokens",
         Field{ "caller", &SendTokens::mCaller },
         Field{ "offset", &SendTokens::mOffset },
         Field{ "text", &SendTokens::mText });

template<>
inline constexpr auto kFields<CallServer> =
  Fields("CallServer",
         Field{ "attempt", &CallServer::mAttempt },
         Field{ "server", &CallServer::mServer },
         Field{ "address", &CallServer::mAddress },
         Field{ "deadline", &CallServer::mDeadline },
         Field{ "call", &CallServer::mCall });

template<>
inline constexpr auto kFields<AbortCall> =
  Fields("AbortCall", Field{ "attempt", &AbortCall::mAttempt });

template<>
inline constexpr auto kFields<SendToPeer> =
  Fields("SendToPeer",
         Field{ "peer", &SendToPeer::mPeer },
         Field{ "message", &SendToPeer::mMessage },
         Field{ "address", &SendToPeer::mAddress });

template<>
inline constexpr auto kFields<LogDecision> =
  Fields("LogDecision",
         Field{ "attempt", &LogDecision::mAttempt },
         Field{ "caller", &LogDecision::mCaller },
         Field{ "text", &LogDecision::mText });

template<>
inline constexpr auto kFields<ExitProcess> = Fields("ExitProcess");

} // namespace heatherfork::detail::trace
