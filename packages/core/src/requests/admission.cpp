#include "heatherfork/detail/requests/admission.h"

#include <algorithm>

#include "heatherfork/detail/requests/answering.h"
#include "heatherfork/detail/requests/attempts.h"

namespace heatherfork::detail {

namespace {

void
AnswerIncoming(Context& aContext,
               const IncomingRequest& aIncoming,
               const Answer& aAnswer)
{
  if (aIncoming.mWaiter) {
    aContext.Emit(AnswerCaller{ aIncoming.mWaiter->mCaller, aAnswer });
  }
  if (aIncoming.mRemoteWaiter) {
    const RemoteWaiter& waiter = *aIncoming.mRemoteWaiter;
    aContext.Send(waiter.mNode, ForwardAnswer{ waiter.mForward, aAnswer });
  }
}

void
Refuse(Context& aContext,
       const IncomingRequest& aIncoming,
       ErrorCode aCode,
       std::string aMessage)
{
  AnswerIncoming(
    aContext,
    aIncoming,
    MakeRefusal(aContext, aIncoming.mRequest, aCode, std::move(aMessage)));
}

// The home reports "not run" only after the tombstone is written: a repeated
// request must not run after that.
void
RefuseAtHome(Context& aContext,
             RequestState& aState,
             const IncomingRequest& aIncoming,
             ErrorCode aCode,
             std::string aMessage)
{
  const Request& request = aIncoming.mRequest;
  const WorkspaceKey key{ request.mWorkspace, request.mKey };
  if (aState.mRecords.AddTombstone(
        key, request.mKeyExpires, RecordLimits(aContext))) {
    Refuse(aContext, aIncoming, aCode, std::move(aMessage));
    return;
  }
  Refuse(aContext,
         aIncoming,
         ErrorCode::kOutcomeUnknown,
         "expected room to record that it has not run, found none");
}

// The home writes a tombstone: without it, a repeated request could run once
// there is a configuration.
void
RefuseWhileStarting(Context& aContext,
                    RequestState& aState,
                    const IncomingRequest& aIncoming)
{
  const Request& request = aIncoming.mRequest;
  std::string message = "this node has no configuration yet";
  if (request.mHome == aContext.mSettings.mSelf && !request.mKey.Empty()) {
    RefuseAtHome(aContext, aState, aIncoming, ErrorCode::kStarting, message);
  } else {
    Refuse(aContext, aIncoming, ErrorCode::kStarting, message);
  }
}

void
Join(Context& aContext,
     RequestState& aState,
     RunningRequest& aRunning,
     const IncomingRequest& aIncoming)
{
  if (aIncoming.mWaiter) {
    aState.mTable.AddWaiter(aRunning, *aIncoming.mWaiter);
    SendNewTokens(aContext, aRunning);
  }
  if (aIncoming.mRemoteWaiter) {
    aRunning.mRemoteWaiters.push_back(*aIncoming.mRemoteWaiter);
  }
}

RunningRequest
MakeRunning(const IncomingRequest& aIncoming, const WorkClass& aClass)
{
  RunningRequest running;
  running.mRequest = aIncoming.mRequest;
  running.mClass = aClass;
  if (aIncoming.mWaiter) {
    running.mWaiters.push_back(*aIncoming.mWaiter);
  }
  if (aIncoming.mRemoteWaiter) {
    running.mRemoteWaiters.push_back(*aIncoming.mRemoteWaiter);
  }
  return running;
}

void
Forward(Context& aContext,
        RequestState& aState,
        const IncomingRequest& aIncoming)
{
  const NodeId& home = aIncoming.mRequest.mHome;
  const Member* member = FindMember(aContext.mMembers, home);
  if (aIncoming.mRemoteWaiter || member == nullptr ||
      member->mStatus == MemberStatus::kDead) {
    Refuse(aContext,
           aIncoming,
           ErrorCode::kHomeUnreachable,
           "expected the home " + home.mName.mValue +
             " to be reachable in the same incarnation");
    return;
  }
  RunningRequest running = MakeRunning(aIncoming, WorkClass{});
  running.mPhase = Phase::kForwarded;
  RunningRequest& inserted = aState.mTable.Insert(std::move(running));
  ScheduleWakeUp(aContext, aState, inserted);
  aContext.Send(home, ForwardRequest{ inserted.mNumber, aIncoming.mRequest });
}

struct RefusalReason
{
  ErrorCode mCode;
  std::string mMessage;
};

bool
HasAdapter(const Model& aModel, const AdapterName& aAdapter)
{
  const auto& adapters = aModel.mAdapters;
  return aAdapter.Empty() ||
         std::find(adapters.begin(), adapters.end(), aAdapter) !=
           adapters.end();
}

std::optional<RefusalReason>
CheckTarget(const Configuration& aConfiguration, const Request& aRequest)
{
  const bool isCompletion = aRequest.mKind == RequestKind::kCompletion;
  const Model* model =
    isCompletion ? FindModel(aConfiguration, aRequest.mModel) : nullptr;
  if (isCompletion && model == nullptr) {
    return RefusalReason{ ErrorCode::kUnknownModel,
                          "expected a configured model, found \"" +
                            aRequest.mModel.mValue + "\"" };
  }
  if (isCompletion && !HasAdapter(*model, aRequest.mAdapter)) {
    return RefusalReason{ ErrorCode::kUnknownModel,
                          "expected an adapter of the model, found \"" +
                            aRequest.mAdapter.mValue + "\"" };
  }
  if (!isCompletion &&
      FindCall(aConfiguration, aRequest.mService, aRequest.mCall) == nullptr) {
    return RefusalReason{ ErrorCode::kUnknownCall,
                          "expected a configured call, found \"" +
                            aRequest.mService.mValue + "/" + aRequest.mCall +
                            "\"" };
  }
  if (FindClass(aConfiguration, aRequest.mClass) == nullptr) {
    return RefusalReason{ ErrorCode::kUnknownClass,
                          "expected a configured class, found \"" +
                            aRequest.mClass.mValue + "\"" };
  }
  return std::nullopt;
}

std::optional<RefusalReason>
CheckLimits(const Context& aContext,
            const RequestState& aState,
            const Request& aRequest)
{
  const Configuration& configuration = *aContext.mConfiguration;
  const Workspace* workspace =
    FindWorkspace(configuration, aRequest.mWorkspace);
  if (workspace == nullptr) {
    return RefusalReason{ ErrorCode::kUnauthorized, "expected a known tenant" };
  }
  if (workspace->mMaxInFlight > 0 &&
      aState.mTable.CountOf(aRequest.mWorkspace) >= workspace->mMaxInFlight) {
    return RefusalReason{ ErrorCode::kWorkspaceLimit,
                          "expected at most " +
                            std::to_string(workspace->mMaxInFlight) +
                            " requests of the tenant at once" };
  }
  if (aState.mTable.Size() >= configuration.mLimits.mMaxQueued) {
    return RefusalReason{ ErrorCode::kQueueFull,
                          "expected at most " +
                            std::to_string(configuration.mLimits.mMaxQueued) +
                            " requests at this node at once" };
  }
  if (aRequest.mDeadline <= aContext.mNow) {
    return RefusalReason{ ErrorCode::kDeadlineTooShort,
                          "expected a deadline in the future" };
  }
  if (aState.mSuspects.IsRefused(aRequest.mFingerprint)) {
    return RefusalReason{ ErrorCode::kCrashSuspect,
                          "backend servers broke while they ran this content" };
  }
  return std::nullopt;
}

void
Start(Context& aContext, RequestState& aState, RunningRequest aRunning)
{
  RunningRequest& inserted = aState.mTable.Insert(std::move(aRunning));
  aState.mBudget.OnRequest(aContext.mSettings.mPolicy.mRetryBudgetPercent);
  StartAttempt(aContext, aState, inserted);
}

// Refuses a key that would outlive the record retention: a repeated request
// whose record was dropped must not run again.
std::optional<RefusalReason>
CheckKeyExpiry(const Context& aContext, const Request& aRequest)
{
  const Duration retention = aContext.mConfiguration->mLimits.mRecordRetention;
  if (aRequest.mKeyExpires > aContext.mNow + retention) {
    return RefusalReason{ ErrorCode::kBadField,
                          "expected key_expires_ms at most " +
                            std::to_string(ToMilliseconds(retention)) +
                            " ms from now" };
  }
  return std::nullopt;
}

void
AdmitNewAtHome(Context& aContext,
               RequestState& aState,
               const IncomingRequest& aIncoming)
{
  const Request& request = aIncoming.mRequest;
  const auto refuse = [&](const RefusalReason& aRefused) {
    RefuseAtHome(
      aContext, aState, aIncoming, aRefused.mCode, aRefused.mMessage);
  };
  if (request.mKind != RequestKind::kPlainCall) {
    refuse({ ErrorCode::kBadField,
             "expected no home: a completion may be repeated" });
    return;
  }
  if (const auto refused = CheckKeyExpiry(aContext, request)) {
    return refuse(*refused);
  }
  if (const auto refused = CheckTarget(*aContext.mConfiguration, request)) {
    return refuse(*refused);
  }
  if (const auto refused = CheckLimits(aContext, aState, request)) {
    return refuse(*refused);
  }
  const KeyRecord record{ request.mFingerprint,
                          request.mKeyExpires,
                          std::nullopt };
  if (!aState.mRecords.Open(WorkspaceKey{ request.mWorkspace, request.mKey },
                            record,
                            RecordLimits(aContext))) {
    refuse({ ErrorCode::kRecordsFull, "expected room for a record" });
    return;
  }
  RunningRequest running = MakeRunning(
    aIncoming, *FindClass(*aContext.mConfiguration, request.mClass));
  running.mHasRecord = true;
  Start(aContext, aState, std::move(running));
}

void
AdmitAtHome(Context& aContext,
            RequestState& aState,
            const IncomingRequest& aIncoming)
{
  const Request& request = aIncoming.mRequest;
  const WorkspaceKey key{ request.mWorkspace, request.mKey };
  if (const KeyRecord* record = aState.mRecords.Find(key)) {
    if (record->mFingerprint != request.mFingerprint) {
      Refuse(aContext,
             aIncoming,
             ErrorCode::kKeyReused,
             "expected the same content as before under this key");
      return;
    }
    if (record->mAnswer) {
      AnswerIncoming(aContext, aIncoming, *record->mAnswer);
      return;
    }
    Join(aContext, aState, *aState.mTable.FindByRecordKey(key), aIncoming);
    return;
  }
  if (aState.mRecords.HasTombstone(key)) {
    Refuse(aContext,
           aIncoming,
           ErrorCode::kKeyRefused,
           "this key was refused as not run; expected a new key");
    return;
  }
  if (request.mKeyExpires <= aContext.mNow) {
    Refuse(aContext,
           aIncoming,
           ErrorCode::kKeyExpired,
           "expected a key that has not expired");
    return;
  }
  AdmitNewAtHome(aContext, aState, aIncoming);
}

// Joins a running request with the same key or content, or answers with the
// retained answer. Returns false if there is neither.
bool
ServeDuplicate(Context& aContext,
               RequestState& aState,
               const IncomingRequest& aIncoming)
{
  const Request& request = aIncoming.mRequest;
  if (!request.mKey.Empty()) {
    const WorkspaceKey key{ request.mWorkspace, request.mKey };
    const KeptAnswers::Entry* entry = aState.mAnswers.Find(key);
    RunningRequest* running = aState.mTable.FindByKey(key);
    const bool isReused =
      (entry != nullptr && entry->mFingerprint != request.mFingerprint) ||
      (running != nullptr &&
       running->mRequest.mFingerprint != request.mFingerprint);
    if (isReused) {
      Refuse(aContext,
             aIncoming,
             ErrorCode::kKeyReused,
             "expected the same content as before under this key");
      return true;
    }
    if (running != nullptr) {
      Join(aContext, aState, *running, aIncoming);
      return true;
    }
    if (entry != nullptr) {
      AnswerIncoming(aContext, aIncoming, entry->mAnswer);
      return true;
    }
  }
  if (RunningRequest* same = aState.mTable.FindSameContent(request)) {
    Join(aContext, aState, *same, aIncoming);
    return true;
  }
  return false;
}

void
AdmitRepeatable(Context& aContext,
                RequestState& aState,
                const IncomingRequest& aIncoming)
{
  const Request& request = aIncoming.mRequest;
  const Configuration& configuration = *aContext.mConfiguration;
  if (const auto refused = CheckTarget(configuration, request)) {
    Refuse(aContext, aIncoming, refused->mCode, refused->mMessage);
    return;
  }
  const WorkClass& workClass = *FindClass(configuration, request.mClass);
  if (workClass.mMustNotRepeat) {
    const bool hasKey = !request.mKey.Empty();
    Refuse(aContext,
           aIncoming,
           hasKey ? ErrorCode::kHomeRequired : ErrorCode::kKeyRequired,
           hasKey ? "expected \"home\" with a request that must not repeat"
                  : "expected \"key\" with a request that must not repeat");
    return;
  }
  if (ServeDuplicate(aContext, aState, aIncoming)) {
    return;
  }
  if (aState.mIsLeaving) {
    Refuse(aContext, aIncoming, ErrorCode::kLeaving, "this node is leaving");
    return;
  }
  if (const auto refused = CheckLimits(aContext, aState, request)) {
    Refuse(aContext, aIncoming, refused->mCode, refused->mMessage);
    return;
  }
  Start(aContext, aState, MakeRunning(aIncoming, workClass));
}

} // namespace

void
AdmitRequest(Context& aContext,
             RequestState& aState,
             const IncomingRequest& aIncoming)
{
  const Request& request = aIncoming.mRequest;
  if (aContext.mConfiguration == nullptr) {
    RefuseWhileStarting(aContext, aState, aIncoming);
    return;
  }
  if (request.mHome.mIncarnation == 0) {
    AdmitRepeatable(aContext, aState, aIncoming);
    return;
  }
  if (request.mKey.Empty()) {
    Refuse(aContext,
           aIncoming,
           ErrorCode::kKeyRequired,
           "expected \"key\" with \"home\"");
    return;
  }
  if (request.mHome == aContext.mSettings.mSelf) {
    AdmitAtHome(aContext, aState, aIncoming);
    return;
  }
  Forward(aContext, aState, aIncoming);
}

} // namespace heatherfork::detail
