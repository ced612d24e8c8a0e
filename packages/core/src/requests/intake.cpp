#include "heatherfork/detail/requests/intake.h"

#include <algorithm>

#include "heatherfork/detail/requests/answering.h"
#include "heatherfork/detail/requests/attempts.h"

namespace heatherfork::detail {

namespace {

void
AnswerArrival(Context& aContext, const Arrival& aArrival, const Answer& aAnswer)
{
  if (aArrival.mWaiter) {
    aContext.Emit(AnswerCaller{ aArrival.mWaiter->mCaller, aAnswer });
  }
  if (aArrival.mRemoteWaiter) {
    const RemoteWaiter& waiter = *aArrival.mRemoteWaiter;
    aContext.Send(waiter.mNode, ForwardAnswer{ waiter.mForward, aAnswer });
  }
}

void
Refuse(Context& aContext,
       const Arrival& aArrival,
       ErrorCode aCode,
       std::string aMessage)
{
  AnswerArrival(
    aContext,
    aArrival,
    Refusal(aContext, aArrival.mRequest, aCode, std::move(aMessage)));
}

// The home says "not run" only once its tombstone stands.
void
RefuseAtHome(Context& aContext,
             RequestState& aState,
             const Arrival& aArrival,
             ErrorCode aCode,
             std::string aMessage)
{
  const Request& request = aArrival.mRequest;
  const WorkspaceKey key{ request.mWorkspace, request.mKey };
  if (aState.mRecords.Refuse(
        key, request.mKeyExpires, RecordLimits(aContext))) {
    Refuse(aContext, aArrival, aCode, std::move(aMessage));
    return;
  }
  Refuse(aContext,
         aArrival,
         ErrorCode::kOutcomeUnknown,
         "expected room to record that it has not run, found none");
}

// Another sending of the request may come in once there is a configuration.
void
RefuseWhileStarting(Context& aContext,
                    RequestState& aState,
                    const Arrival& aArrival)
{
  const Request& request = aArrival.mRequest;
  std::string message = "this node has no configuration yet";
  if (request.mHome == aContext.mSettings.mSelf && !request.mKey.Empty()) {
    RefuseAtHome(aContext, aState, aArrival, ErrorCode::kStarting, message);
  } else {
    Refuse(aContext, aArrival, ErrorCode::kStarting, message);
  }
}

void
Join(Context& aContext,
     RequestState& aState,
     RunningRequest& aRunning,
     const Arrival& aArrival)
{
  if (aArrival.mWaiter) {
    aState.mTable.AddWaiter(aRunning, *aArrival.mWaiter);
    SendNewTokens(aContext, aRunning);
  }
  if (aArrival.mRemoteWaiter) {
    aRunning.mRemoteWaiters.push_back(*aArrival.mRemoteWaiter);
  }
}

RunningRequest
MakeRunning(const Arrival& aArrival, const WorkClass& aClass)
{
  RunningRequest running;
  running.mRequest = aArrival.mRequest;
  running.mClass = aClass;
  if (aArrival.mWaiter) {
    running.mWaiters.push_back(*aArrival.mWaiter);
  }
  if (aArrival.mRemoteWaiter) {
    running.mRemoteWaiters.push_back(*aArrival.mRemoteWaiter);
  }
  return running;
}

void
Forward(Context& aContext, RequestState& aState, const Arrival& aArrival)
{
  const NodeId& home = aArrival.mRequest.mHome;
  const Member* member = FindMember(aContext.mMembers, home);
  if (aArrival.mRemoteWaiter || member == nullptr ||
      member->mStatus == MemberStatus::kDead) {
    Refuse(aContext,
           aArrival,
           ErrorCode::kHomeUnreachable,
           "expected the home " + home.mName.mValue +
             " to be reachable in the same incarnation");
    return;
  }
  RunningRequest running = MakeRunning(aArrival, WorkClass{});
  running.mPhase = Phase::kForwarded;
  RunningRequest& inserted = aState.mTable.Insert(std::move(running));
  ScheduleWakeUp(aContext, aState, inserted);
  aContext.Send(home, ForwardRequest{ inserted.mNumber, aArrival.mRequest });
}

struct Refused
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

std::optional<Refused>
CheckTarget(const Configuration& aConfiguration, const Request& aRequest)
{
  const bool completion = aRequest.mKind == RequestKind::kCompletion;
  const Model* model =
    completion ? FindModel(aConfiguration, aRequest.mModel) : nullptr;
  if (completion && model == nullptr) {
    return Refused{ ErrorCode::kUnknownModel,
                    "expected a configured model, found \"" +
                      aRequest.mModel.mValue + "\"" };
  }
  if (completion && !HasAdapter(*model, aRequest.mAdapter)) {
    return Refused{ ErrorCode::kUnknownModel,
                    "expected an adapter of the model, found \"" +
                      aRequest.mAdapter.mValue + "\"" };
  }
  if (!completion &&
      FindCall(aConfiguration, aRequest.mService, aRequest.mCall) == nullptr) {
    return Refused{ ErrorCode::kUnknownCall,
                    "expected a configured call, found \"" +
                      aRequest.mService.mValue + "/" + aRequest.mCall + "\"" };
  }
  if (FindClass(aConfiguration, aRequest.mClass) == nullptr) {
    return Refused{ ErrorCode::kUnknownClass,
                    "expected a configured class, found \"" +
                      aRequest.mClass.mValue + "\"" };
  }
  return std::nullopt;
}

std::optional<Refused>
CheckLimits(const Context& aContext,
            const RequestState& aState,
            const Request& aRequest)
{
  const Configuration& configuration = *aContext.mConfiguration;
  const Workspace* workspace =
    FindWorkspace(configuration, aRequest.mWorkspace);
  if (workspace == nullptr) {
    return Refused{ ErrorCode::kUnauthorized, "expected a known tenant" };
  }
  if (workspace->mMaxInFlight > 0 &&
      aState.mTable.CountOf(aRequest.mWorkspace) >= workspace->mMaxInFlight) {
    return Refused{ ErrorCode::kWorkspaceLimit,
                    "expected at most " +
                      std::to_string(workspace->mMaxInFlight) +
                      " requests of the tenant at once" };
  }
  if (aState.mTable.Size() >= configuration.mLimits.mMaxQueued) {
    return Refused{ ErrorCode::kQueueFull,
                    "expected at most " +
                      std::to_string(configuration.mLimits.mMaxQueued) +
                      " requests at this node at once" };
  }
  if (aRequest.mDeadline <= aContext.mNow) {
    return Refused{ ErrorCode::kDeadlineTooShort,
                    "expected a deadline in the future" };
  }
  if (aState.mSuspects.IsRefused(aRequest.mFingerprint)) {
    return Refused{ ErrorCode::kCrashSuspect,
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

// A key whose record may have been dropped must not open a new one.
std::optional<Refused>
CheckKeyTime(const Context& aContext, const Request& aRequest)
{
  const Duration retention = aContext.mConfiguration->mLimits.mRecordRetention;
  if (aRequest.mKeyExpires > aContext.mNow + retention) {
    return Refused{ ErrorCode::kBadField,
                    "expected key_expires_ms at most " +
                      std::to_string(ToMilliseconds(retention)) +
                      " ms from now" };
  }
  return std::nullopt;
}

void
TakeInNewAtHome(Context& aContext,
                RequestState& aState,
                const Arrival& aArrival)
{
  const Request& request = aArrival.mRequest;
  const auto refuse = [&](const Refused& aRefused) {
    RefuseAtHome(aContext, aState, aArrival, aRefused.mCode, aRefused.mMessage);
  };
  if (request.mKind != RequestKind::kPlainCall) {
    refuse({ ErrorCode::kBadField,
             "expected no home: a completion may be repeated" });
    return;
  }
  if (const auto refused = CheckKeyTime(aContext, request)) {
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
  RunningRequest running =
    MakeRunning(aArrival, *FindClass(*aContext.mConfiguration, request.mClass));
  running.mHasRecord = true;
  Start(aContext, aState, std::move(running));
}

void
TakeInAtHome(Context& aContext, RequestState& aState, const Arrival& aArrival)
{
  const Request& request = aArrival.mRequest;
  const WorkspaceKey key{ request.mWorkspace, request.mKey };
  if (const KeyRecord* record = aState.mRecords.Find(key)) {
    if (record->mFingerprint != request.mFingerprint) {
      Refuse(aContext,
             aArrival,
             ErrorCode::kKeyReused,
             "expected the same content as before under this key");
      return;
    }
    if (record->mAnswer) {
      AnswerArrival(aContext, aArrival, *record->mAnswer);
      return;
    }
    Join(aContext, aState, *aState.mTable.FindByRecordKey(key), aArrival);
    return;
  }
  if (aState.mRecords.IsRefused(key)) {
    Refuse(aContext,
           aArrival,
           ErrorCode::kKeyRefused,
           "this key was refused as not run; expected a new key");
    return;
  }
  if (request.mKeyExpires <= aContext.mNow) {
    Refuse(aContext,
           aArrival,
           ErrorCode::kKeyExpired,
           "expected a key that has not expired");
    return;
  }
  TakeInNewAtHome(aContext, aState, aArrival);
}

// Joins a run of the same request, or hands out its kept answer.
bool
ServeKnown(Context& aContext, RequestState& aState, const Arrival& aArrival)
{
  const Request& request = aArrival.mRequest;
  if (!request.mKey.Empty()) {
    const WorkspaceKey key{ request.mWorkspace, request.mKey };
    const KeptAnswers::Kept* kept = aState.mAnswers.Find(key);
    RunningRequest* running = aState.mTable.FindByKey(key);
    const bool reused =
      (kept != nullptr && kept->mFingerprint != request.mFingerprint) ||
      (running != nullptr &&
       running->mRequest.mFingerprint != request.mFingerprint);
    if (reused) {
      Refuse(aContext,
             aArrival,
             ErrorCode::kKeyReused,
             "expected the same content as before under this key");
      return true;
    }
    if (running != nullptr) {
      Join(aContext, aState, *running, aArrival);
      return true;
    }
    if (kept != nullptr) {
      AnswerArrival(aContext, aArrival, kept->mAnswer);
      return true;
    }
  }
  if (RunningRequest* equal = aState.mTable.FindEqual(request)) {
    Join(aContext, aState, *equal, aArrival);
    return true;
  }
  return false;
}

void
TakeInRepeatable(Context& aContext,
                 RequestState& aState,
                 const Arrival& aArrival)
{
  const Request& request = aArrival.mRequest;
  const Configuration& configuration = *aContext.mConfiguration;
  if (const auto refused = CheckTarget(configuration, request)) {
    Refuse(aContext, aArrival, refused->mCode, refused->mMessage);
    return;
  }
  const WorkClass& workClass = *FindClass(configuration, request.mClass);
  if (workClass.mMustNotRepeat) {
    const bool hasKey = !request.mKey.Empty();
    Refuse(aContext,
           aArrival,
           hasKey ? ErrorCode::kHomeRequired : ErrorCode::kKeyRequired,
           hasKey ? "expected \"home\" with a request that must not repeat"
                  : "expected \"key\" with a request that must not repeat");
    return;
  }
  if (ServeKnown(aContext, aState, aArrival)) {
    return;
  }
  if (aState.mLeaving) {
    Refuse(aContext, aArrival, ErrorCode::kLeaving, "this node is leaving");
    return;
  }
  if (const auto refused = CheckLimits(aContext, aState, request)) {
    Refuse(aContext, aArrival, refused->mCode, refused->mMessage);
    return;
  }
  Start(aContext, aState, MakeRunning(aArrival, workClass));
}

} // namespace

void
TakeIn(Context& aContext, RequestState& aState, const Arrival& aArrival)
{
  const Request& request = aArrival.mRequest;
  if (aContext.mConfiguration == nullptr) {
    RefuseWhileStarting(aContext, aState, aArrival);
    return;
  }
  if (request.mHome.mIncarnation == 0) {
    TakeInRepeatable(aContext, aState, aArrival);
    return;
  }
  if (request.mKey.Empty()) {
    Refuse(aContext,
           aArrival,
           ErrorCode::kKeyRequired,
           "expected \"key\" with \"home\"");
    return;
  }
  if (request.mHome == aContext.mSettings.mSelf) {
    TakeInAtHome(aContext, aState, aArrival);
    return;
  }
  Forward(aContext, aState, aArrival);
}

} // namespace heatherfork::detail
