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
SaysNotRun(const Answer& aAnswer)
{
  return !aAnswer.mOk &&
         InfoOf(aAnswer.mError.mCode).mOutcome == Outcome::kNotRun;
}

// The status says that the backend server holds nothing for the call.
bool
NothingHeld(CallStatus aStatus)
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
Observer::On(const NodeId& aNode,
             const EventBody& aBody,
             const Effects& aEffects)
{
  if (const auto* requested = std::get_if<CallerRequested>(&aBody)) {
    OnBody(aNode, *requested);
  }
  if (const auto* replied = std::get_if<ServerReplied>(&aBody)) {
    OnBody(aNode, *replied);
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
Observer::ArrivalsOf(const WorkspaceKey& aKey) const
{
  int arrivals = 0;
  std::set<CallBody> seen;
  for (const auto& [caller, request] : mRequests) {
    const CallBody call{ request.mCall, request.mBody };
    const bool isKey =
      request.mWorkspace == aKey.mWorkspace && request.mKey == aKey.mKey;
    const auto it = mArrivals.find(call);
    if (isKey && it != mArrivals.end() && seen.insert(call).second) {
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
Observer::Breaches() const
{
  std::vector<std::string> breaches;
  for (const auto& [caller, answers] : mAnswers) {
    if (answers.size() > 1) {
      breaches.push_back(NameOf(caller) + " was answered twice");
    }
    const auto it = mRequests.find(caller);
    if (it == mRequests.end()) {
      breaches.push_back(NameOf(caller) + " was answered and had not asked");
    } else if (SaysNotRun(answers.front()) && MayHaveArrived(it->second)) {
      breaches.push_back(NameOf(caller) + " was told not-run, but it may have");
    }
  }
  for (const auto& [caller, request] : mRequests) {
    const WorkspaceKey key{ request.mWorkspace, request.mKey };
    if (MustNotRepeat(request) && ArrivalsOf(key) > 1) {
      breaches.push_back(
        Concat("key ", request.mKey.mValue, " may have run more than once"));
    }
  }
  return breaches;
}

std::vector<std::string>
Observer::HeldAttempts() const
{
  std::vector<std::string> held;
  for (const auto& [attempt, server] : mHeld) {
    held.push_back(Concat(NumberToHex(attempt.mIncarnation),
                          "-",
                          NumberToHex(attempt.mSequence),
                          " at ",
                          server.mValue));
  }
  return held;
}

void
Observer::OnBody(const NodeId& aNode, const CallerRequested& aEvent)
{
  mRequests.emplace(CallerOfNode{ aNode, aEvent.mCaller }, aEvent.mRequest);
}

void
Observer::OnBody(const NodeId&, const ServerReplied& aEvent)
{
  const auto* plain = std::get_if<PlainCall>(&aEvent.mCall);
  if (plain != nullptr && NothingHeld(aEvent.mReply.mStatus)) {
    --mArrivals[CallBody{ plain->mCall, plain->mBody }];
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
    ++mArrivals[CallBody{ plain->mCall, plain->mBody }];
  }
  if (std::holds_alternative<ReserveCall>(aEffect.mCall) ||
      std::holds_alternative<PrefillCall>(aEffect.mCall)) {
    mHeld.insert(HeldAt{ aEffect.mAttempt, aEffect.mServer });
  }
}

// A transfer that succeeded has moved the KV cache; a decode stream that was
// read to its end holds nothing.
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
  const bool started = std::holds_alternative<ReserveCall>(call) ||
                       std::holds_alternative<PrefillCall>(call);
  const bool ended = std::holds_alternative<TransferCall>(call) ||
                     std::holds_alternative<DecodeCall>(call) ||
                     std::holds_alternative<CancelCall>(call);
  if ((started && NothingHeld(status)) || (ended && ok)) {
    mHeld.erase(HeldAt{ aReplied.mAttempt, aReplied.mServer });
  }
}

void
Observer::ReleaseRange(const ServerName& aServer, const CancelRangeCall& aRange)
{
  std::erase_if(mHeld, [&](const HeldAt& aHeld) {
    return aHeld.second == aServer &&
           aHeld.first.mIncarnation == aRange.mIncarnation &&
           aHeld.first.mSequence <= aRange.mLast;
  });
}

bool
Observer::MayHaveArrived(const Request& aRequest) const
{
  const auto it = mArrivals.find(CallBody{ aRequest.mCall, aRequest.mBody });
  return MustNotRepeat(aRequest) && it != mArrivals.end() && it->second > 0;
}

} // namespace heatherfork::detail::trace
