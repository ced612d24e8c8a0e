#include "heatherfork/detail/relay/relay_notes.h"

namespace heatherfork::detail {

namespace {

using Phase = OpenRequest::Phase;

// Replicas to which one request is sent in vain before it is given up: more
// would spend the budget of others.
constexpr int kMostArrivals = 3;

// Silence of a replica, in targets, after which a request that may be sent
// again is.
constexpr int kTargetsOfSilence = 2;
constexpr int kGapsOfSilence = 4;

std::string_view
NameOf(RelayResult aResult)
{
  switch (aResult) {
    case RelayResult::kDone:
      return "done";
    case RelayResult::kRanFailed:
      return "ran-failed";
    case RelayResult::kNotRun:
      return "not-run";
    case RelayResult::kWrongPlace:
      return "wrong-place";
    case RelayResult::kNotSent:
      return "not-sent";
    case RelayResult::kBroken:
      return "broken";
  }
  return "";
}

std::string_view
NameOf(RelayStage aStage)
{
  switch (aStage) {
    case RelayStage::kWhole:
      return "whole";
    case RelayStage::kPrefill:
      return "prefill";
    case RelayStage::kDecode:
      return "decode";
  }
  return "";
}

} // namespace

void
RelayRequests::StartPlaced(RelayContext& aContext, OpenRequest& aRequest)
{
  const Placed placed = aRequest.mPlaced;
  for (const ServerName& name : { placed.mPrefill, placed.mServer }) {
    const Replica* replica = FindReplica(aContext.mReplicas, name);
    if (name.Empty() || (replica != nullptr && !replica->mLeaving)) {
      continue;
    }
    // The scheduler's news are older than this node's.
    EndPlacement(aContext, aRequest, PlacementResult::kServerFailed, name, 0);
    aRequest.mExcluded.push_back(name);
    Place(aContext, aRequest, true);
    return;
  }
  const bool prefills = !placed.mPrefill.Empty();
  Start(aContext,
        aRequest,
        prefills ? RelayStage::kPrefill : RelayStage::kWhole,
        prefills ? placed.mPrefill : placed.mServer);
}

void
RelayRequests::Start(RelayContext& aContext,
                     OpenRequest& aRequest,
                     RelayStage aStage,
                     const ServerName& aServer)
{
  const Replica* replica = FindReplica(aContext.mReplicas, aServer);
  if (replica == nullptr) {
    RelayEnded ended;
    ended.mCall = { aRequest.mCaller, aRequest.mCalls };
    ended.mResult = RelayResult::kNotSent;
    OnNotRun(aContext, aRequest, ended);
    return;
  }
  const Route& route = aRequest.mRoute;
  StartCall call;
  call.mCall = { aRequest.mCaller, ++aRequest.mCalls };
  call.mStage = aStage;
  call.mServer = aServer;
  call.mAddress = replica->mAddress;
  call.mDeadline = aRequest.mDue;
  call.mIsStream = route.mIsStream && aStage != RelayStage::kPrefill;
  const bool mayRepeat = route.mRepeat == RepeatRule::kMayRepeat;
  call.mFresh = !mayRepeat && aStage != RelayStage::kPrefill;
  if (aStage == RelayStage::kDecode) {
    call.mKvHolder = aRequest.mKvHolder;
    call.mCacheId = aRequest.mCacheId;
    aRequest.mCacheId.clear();
  }
  if (aStage == RelayStage::kPrefill) {
    aRequest.mKvHolder = replica->mAddress;
  } else {
    call.mResumeAfter = aRequest.mLastEvent;
    ++aRequest.mRuns;
  }
  // The first prefill, and the first call for the answer, are not repeats.
  const bool isFirst = aStage != RelayStage::kPrefill && aRequest.mRuns == 1;
  aRequest.mArrivals += isFirst ? 0 : 1;
  const bool mayGoOn = aStage == RelayStage::kPrefill || MayRunAgain(aRequest);
  if (mayGoOn) {
    call.mFirstByteLimit = route.mTarget * kTargetsOfSilence;
    call.mSilenceLimit = route.mGapTarget * kGapsOfSilence;
  }
  aRequest.mCallStartedAt = aContext.Now();
  aRequest.mPhase =
    aStage == RelayStage::kPrefill ? Phase::kPrefilling : Phase::kAnswering;
  Note(aContext,
       "sent",
       aRequest,
       "stage=" + std::string(NameOf(aStage)) + " server=" + aServer.mValue +
         " address=" + replica->mAddress.mValue +
         " call=" + std::to_string(aRequest.mCalls));
  aContext.Emit(std::move(call));
}

void
RelayRequests::On(RelayContext& aContext, const RelayBegan& aEvent)
{
  OpenRequest* request = FindByCall(aEvent.mCall);
  if (request == nullptr || request->mPhase != Phase::kAnswering) {
    return;
  }
  request->mPhase = Phase::kStreaming;
  request->mHasBegun = true;
  Progress(aContext, *request, PlacementStep::kFirstToken);
  Note(aContext,
       RelayOutcome::kBegan,
       *request,
       "server=" + request->mPlaced.mServer.mValue);
}

void
RelayRequests::On(RelayContext& aContext, const RelayEnded& aEvent)
{
  OpenRequest* request = FindByCall(aEvent.mCall);
  if (request == nullptr || request->mPhase == Phase::kPlacing) {
    return;
  }
  Note(aContext,
       "replied",
       *request,
       "result=" + std::string(NameOf(aEvent.mResult)) +
         " status=" + std::to_string(aEvent.mStatus) +
         " call=" + std::to_string(aEvent.mCall.mNumber));
  if (request->mPhase == Phase::kPrefilling) {
    OnPrefilled(aContext, *request, aEvent);
    return;
  }
  if (!aEvent.mLastEvent.empty()) {
    request->mLastEvent = aEvent.mLastEvent;
    request->mHasBegun = true;
  }
  OnAnswered(aContext, *request, aEvent);
}

void
RelayRequests::OnPrefilled(RelayContext& aContext,
                           OpenRequest& aRequest,
                           const RelayEnded& aEnded)
{
  if (aEnded.mResult == RelayResult::kDone && !aEnded.mCacheId.empty()) {
    aRequest.mCacheId = aEnded.mCacheId;
    Progress(aContext, aRequest, PlacementStep::kPrefilled);
    Start(aContext, aRequest, RelayStage::kDecode, aRequest.mPlaced.mServer);
    return;
  }
  OnNotRun(aContext, aRequest, aEnded);
}

void
RelayRequests::OnAnswered(RelayContext& aContext,
                          OpenRequest& aRequest,
                          const RelayEnded& aEnded)
{
  switch (aEnded.mResult) {
    case RelayResult::kDone:
      EndPlacement(
        aContext, aRequest, PlacementResult::kDone, {}, aEnded.mEvents);
      Note(aContext,
           RelayOutcome::kAnswered,
           aRequest,
           "status=" + std::to_string(aEnded.mStatus));
      aContext.Emit(PassAnswer{ aEnded.mCall });
      Close(aRequest);
      return;
    case RelayResult::kRanFailed: {
      const ServerName server = aRequest.mPlaced.mServer;
      EndPlacement(aContext, aRequest, PlacementResult::kAbandoned, {}, 0);
      if (MayRunAgain(aRequest) && TakeRepeat(aContext, aRequest)) {
        aRequest.mExcluded.push_back(server);
        Place(aContext, aRequest, false);
        return;
      }
      Note(aContext,
           RelayOutcome::kAnswered,
           aRequest,
           "status=" + std::to_string(aEnded.mStatus));
      aContext.Emit(PassAnswer{ aEnded.mCall });
      Close(aRequest);
      return;
    }
    case RelayResult::kNotRun:
    case RelayResult::kWrongPlace:
    case RelayResult::kNotSent:
      --aRequest.mRuns;
      OnNotRun(aContext, aRequest, aEnded);
      return;
    case RelayResult::kBroken:
      OnBroken(aContext, aRequest, aEnded);
      return;
  }
}

// Nothing ran in this call, so that the request may go elsewhere whatever its
// rule; only the budget limits that.
void
RelayRequests::OnNotRun(RelayContext& aContext,
                        OpenRequest& aRequest,
                        const RelayEnded& aEnded)
{
  // The decode replica was full, or could not fetch the KV cache: which one is
  // not said, so that neither is tried again for this request.
  const bool lacksKv = aRequest.mPhase == Phase::kAnswering &&
                       aEnded.mResult == RelayResult::kNotRun &&
                       !aRequest.mPlaced.mPrefill.Empty();
  const bool wasPrefill = aRequest.mPhase == Phase::kPrefilling;
  const ServerName failed =
    wasPrefill ? aRequest.mPlaced.mPrefill : aRequest.mPlaced.mServer;
  EndPlacement(aContext, aRequest, PlacementResult::kServerFailed, failed, 0);
  DropKv(aContext, aRequest);
  if (lacksKv) {
    aRequest.mExcluded.push_back(aRequest.mPlaced.mPrefill);
  }
  if (aRequest.mArrivals < kMostArrivals && TakeRepeat(aContext, aRequest)) {
    aRequest.mExcluded.push_back(failed);
    Place(aContext, aRequest, false);
    return;
  }
  if (aRequest.mHasBegun) {
    Break(aContext, aRequest, "reason=\"no budget to go on\"");
    return;
  }
  const std::string why = "replica \"" + failed.mValue +
                          "\" did not take it (" +
                          std::string(NameOf(aEnded.mResult)) + ")";
  if (aRequest.mRuns > 0) {
    Refuse(aContext, aRequest, { ErrorCode::kOutcomeUnknown, why }, {});
    return;
  }
  Refuse(aContext,
         aRequest,
         { ErrorCode::kBackendServerBusy, why },
         kLeastRetryAfter);
}

void
RelayRequests::OnBroken(RelayContext& aContext,
                        OpenRequest& aRequest,
                        const RelayEnded& aEnded)
{
  const ServerName server = aRequest.mPlaced.mServer;
  EndPlacement(aContext, aRequest, PlacementResult::kServerFailed, server, 0);
  if (MayRunAgain(aRequest) && TakeRepeat(aContext, aRequest)) {
    aRequest.mExcluded.push_back(server);
    Place(aContext, aRequest, false);
    return;
  }
  if (aRequest.mHasBegun) {
    Break(aContext,
          aRequest,
          "server=" + server.mValue +
            " events=" + std::to_string(aEnded.mEvents));
    return;
  }
  Refuse(aContext,
         aRequest,
         { ErrorCode::kOutcomeUnknown,
           "no whole answer came from replica \"" + server.mValue + "\"" },
         {});
}

bool
RelayRequests::MayRunAgain(const OpenRequest& aRequest) const
{
  const Route& route = aRequest.mRoute;
  const bool mayRepeat = route.mIsStream
                           ? route.mResumable
                           : route.mRepeat == RepeatRule::kMayRepeat;
  // A caller's own resumption begins in the middle: the first event that it
  // lacks is known only once one has come.
  const bool knowsStart = !aRequest.mRequest.mResumes || aRequest.mHasBegun;
  return mayRepeat && knowsStart && aRequest.mRuns < route.mMaxAttempts;
}

bool
RelayRequests::TakeRepeat(RelayContext& aContext, OpenRequest& aRequest)
{
  // Once a prompt was prefilled, the next prefill counts as well as the call
  // for the answer.
  const bool wasPrefilled =
    aRequest.mIsEngine && aRequest.mPhase != Phase::kPrefilling;
  const int calls = wasPrefilled ? 2 : 1;
  const bool taken = mBudget.Take(aContext.Now(),
                                  aContext.mSettings,
                                  aRequest.mService,
                                  aContext.mNodes,
                                  calls);
  Note(aContext,
       taken ? "again" : "budget-spent",
       aRequest,
       "service=" + aRequest.mService.mValue +
         " nodes=" + std::to_string(aContext.mNodes));
  return taken;
}

void
RelayRequests::DropKv(RelayContext& aContext, OpenRequest& aRequest)
{
  if (!aRequest.mCacheId.empty()) {
    aContext.Emit(FreeKv{ aRequest.mKvHolder, aRequest.mCacheId });
    aRequest.mCacheId.clear();
  }
}

} // namespace heatherfork::detail
