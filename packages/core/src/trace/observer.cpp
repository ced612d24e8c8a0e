#include "heatherfork/detail/trace/observer.h"

#include "heatherfork/detail/text.h"
#include "heatherfork/detail/trace/bytes.h"

namespace heatherfork::detail::trace {

namespace {

bool
MustNotRepeat(const Request& aRequest)
{
  return aRequest.mKind == RequestKind::kPlainCall &&
         aRequest.mHome.mIncarnation != 0;
}

bool
ReportsNotRun(const Answer& aAnswer)
{
  return !aAnswer.mOk &&
         InfoOf(aAnswer.mError.mCode).mOutcome == Outcome::kNotRun;
}

// True if the status rules out that the backend server runs or holds anything
// for the call.
bool
HoldsNoResources(CallStatus aStatus)
{
  return aStatus == CallStatus::kNotSent || aStatus == CallStatus::kRefused ||
         aStatus == CallStatus::kCancelled;
}

std::string
NameOf(const CallerOfNode& aCaller)
{
  return Concat("caller ",
                NumberToHex(aCaller.second),
                " of ",
                aCaller.first.mName.mValue,
                "/",
                NumberToHex(aCaller.first.mIncarnation));
}

} // namespace

void
Observer::Observe(const NodeId& aNode,
                  const EventBody& aBody,
                  const Effects& aEffects)
{
  if (const auto* requested = std::get_if<CallerRequested>(&aBody)) {
    OnEvent(aNode, *requested);
  }
  if (const auto* replied = std::get_if<ServerReplied>(&aBody)) {
    OnEvent(aNode, *replied);
  }
  for (const Effect& effect : aEffects) {
    if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      OnEffect(aNode, *answer);
    }
    if (const auto* call = std::get_if<CallServer>(&effect)) {
      OnEffect(aNode, *call);
    }
  }
}

int
Observer::ArrivalCount(const WorkspaceKey& aKey) const
{
  int arrivals = 0;
  std::set<CallBody> seen;
  for (const auto& [caller, request] : mRequests) {
    const CallBody call{ request.mCall, request.mBody };
    const bool hasKey =
      request.mWorkspace == aKey.mWorkspace && request.mKey == aKey.mKey;
    const auto it = mArrivalCounts.find(call);
    if (hasKey && it != mArrivalCounts.end() && seen.insert(call).second) {
      arrivals += it->second;
    }
  }
  return arrivals;
}

std::vector<Answer>
Observer::AnswersOf(const CallerOfNode& aCaller) const
{
  const auto it = mAnswers.find(aCaller);
  return it == mAnswers.end() ? std::vector<Answer>{} : it->second;
}

std::vector<std::string>
Observer::Violations() const
{
  std::vector<std::string> violations;
  for (const auto& [caller, answers] : mAnswers) {
    if (answers.size() > 1) {
      violations.push_back(NameOf(caller) + " was answered twice");
    }
    const auto it = mRequests.find(caller);
    if (it == mRequests.end()) {
      violations.push_back(NameOf(caller) + " was answered without a request");
    } else if (ReportsNotRun(answers.front()) && MayHaveArrived(it->second)) {
      violations.push_back(NameOf(caller) +
                           " was answered not-run, but the call may have run");
    }
  }
  for (const auto& [caller, request] : mRequests) {
    const WorkspaceKey key{ request.mWorkspace, request.mKey };
    if (MustNotRepeat(request) && ArrivalCount(key) > 1) {
      violations.push_back(
        Concat("key ", request.mKey.mValue, " may have run more than once"));
    }
  }
  return violations;
}

std::vector<std::string>
Observer::HeldAttempts() const
{
  std::vector<std::string> held;
  for (const auto& [attempt, server] : mHeldAttempts) {
    held.push_back(Concat(NumberToHex(attempt.mIncarnation),
                          "-",
                          NumberToHex(attempt.mSequence),
                          " at ",
                          server.mValue));
  }
  return held;
}

void
Observer::OnEvent(const NodeId& aNode, const CallerRequested& aEvent)
{
  mRequests.emplace(CallerOfNode{ aNode, aEvent.mCaller }, aEvent.mRequest);
}

void
Observer::OnEvent(const NodeId&, const ServerReplied& aEvent)
{
  const auto* plain = std::get_if<PlainCall>(&aEvent.mCall);
  if (plain != nullptr && HoldsNoResources(aEvent.mReply.mStatus)) {
    --mArrivalCounts[CallBody{ plain->mCall, plain->mBody }];
  }
  Release(aEvent);
}

void
Observer::OnEffect(const NodeId& aNode, const AnswerCaller& aEffect)
{
  mAnswers[CallerOfNode{ aNode, aEffect.mCaller }].push_back(aEffect.mAnswer);
}

void
Observer::OnEffect(const NodeId&, const CallServer& aEffect)
{
  if (const auto* plain = std::get_if<PlainCall>(&aEffect.mCall)) {
    ++mArrivalCounts[CallBody{ plain->mCall, plain->mBody }];
  }
  if (std::holds_alternative<ReserveCall>(aEffect.mCall) ||
      std::holds_alternative<PrefillCall>(aEffect.mCall)) {
    mHeldAttempts.insert(HeldAttempt{ aEffect.mAttempt, aEffect.mServer });
  }
}

// A successful transfer has moved the KV cache away from the server, and a
// completed decode stream has released it.
void
Observer::Release(const ServerReplied& aReplied)
{
  const CallStatus status = aReplied.mReply.mStatus;
  const bool ok = status == CallStatus::kOk;
  const auto& call = aReplied.mCall;
  if (const auto* range = std::get_if<CancelRangeCall>(&call)) {
    if (ok) {
      ReleaseRange(aReplied.mServer, *range);
    }
    return;
  }
  const bool hasStarted = std::holds_alternative<ReserveCall>(call) ||
                          std::holds_alternative<PrefillCall>(call);
  const bool hasEnded = std::holds_alternative<TransferCall>(call) ||
                        std::holds_alternative<DecodeCall>(call) ||
                        std::holds_alternative<CancelCall>(call);
  if ((hasStarted && HoldsNoResources(status)) || (hasEnded && ok)) {
    mHeldAttempts.erase(HeldAttempt{ aReplied.mAttempt, aReplied.mServer });
  }
}

void
Observer::ReleaseRange(const ServerName& aServer, const CancelRangeCall& aRange)
{
  std::erase_if(mHeldAttempts, [&](const HeldAttempt& aHeldAttempt) {
    return aHeldAttempt.second == aServer &&
           aHeldAttempt.first.mIncarnation == aRange.mIncarnation &&
           aHeldAttempt.first.mSequence <= aRange.mLast;
  });
}

bool
Observer::MayHaveArrived(const Request& aRequest) const
{
  const auto it =
    mArrivalCounts.find(CallBody{ aRequest.mCall, aRequest.mBody });
  return MustNotRepeat(aRequest) && it != mArrivalCounts.end() &&
         it->second > 0;
}

} // namespace heatherfork::detail::trace
