#include "fake_engines.h"

#include <algorithm>

namespace heatherfork::bench {

namespace {

/// Rounds to whole microseconds: less than half of one counts as no work.
constexpr double kRoundingMicros = 0.5;

void
Reply(const CallHandlers& aHandlers, CallStatus aStatus)
{
  aHandlers.mReply(ServerReply{ aStatus });
}

} // namespace

FakePrefill::FakePrefill(EventQueue& aQueue,
                         BackendServer aServer,
                         const OfferLookup& aOfferLookup,
                         EngineMetrics& aMetrics,
                         Links& aLinks)
  : FakeServer(aQueue, std::move(aServer))
  , mOfferLookup(aOfferLookup)
  , mMetrics(aMetrics)
  , mLinks(aLinks)
  , mCache(kPrefixCacheTokens)
{
}

void
FakePrefill::SetDecodeServers(std::map<Address, FakeDecode*> aDecodeServers)
{
  mDecodeServers = std::move(aDecodeServers);
}

void
FakePrefill::Call(const CallServer& aCall, CallHandlers aHandlers)
{
  if (IsDown()) {
    Reply(aHandlers, CallStatus::kNotSent);
    return;
  }
  if (std::holds_alternative<PrefillCall>(aCall.mCall)) {
    AddJob(aCall, std::move(aHandlers));
  } else if (std::holds_alternative<TransferCall>(aCall.mCall)) {
    Transfer(aCall, aHandlers);
  } else if (std::holds_alternative<CancelCall>(aCall.mCall)) {
    Cancel(aCall.mAttempt);
    aHandlers.mReply(ServerReply{ CallStatus::kOk });
  } else {
    Reply(aHandlers, CallStatus::kRefused);
  }
}

LoadReport
FakePrefill::Report() const
{
  const int running = mIsRunning ? 1 : 0;
  const int queued = static_cast<int>(mJobs.size()) - running;
  return { running, queued, Server().mPieces, mQueue.Now() };
}

void
FakePrefill::SetSlowness(double aSlowness)
{
  UpdateRemainingWork();
  FakeServer::SetSlowness(aSlowness);
  Schedule();
}

void
FakePrefill::SetDown(bool aIsDown)
{
  FakeServer::SetDown(aIsDown);
  if (!aIsDown) {
    return;
  }
  const auto jobs = std::move(mJobs);
  mJobs.clear();
  mIsRunning = false;
  ++mScheduleNumber;
  mResults.clear();
  mCache.Clear();
  for (const Job& job : jobs) {
    Reply(job.mHandlers, CallStatus::kBroken);
  }
}

int
FakePrefill::UncachedTokens(const Offer& aOffer) const
{
  const bool isHit = aOffer.mPrefix != 0 && mCache.Contains(aOffer.mPrefix);
  const int cached = isHit ? aOffer.mPrefixTokens : 0;
  return aOffer.mRequest.mPromptTokens - cached;
}

bool
FakePrefill::HasReceived(const AttemptId& aAttempt) const
{
  return mReceived.contains(aAttempt);
}

Duration
FakePrefill::Backlog() const
{
  double work = 0;
  for (std::size_t n = 0; n < mJobs.size(); ++n) {
    const Offer* offer = mOfferLookup.OfferOf(mJobs[n].mAttempt);
    if (n > 0 && offer != nullptr) {
      work += PrefillMicros(UncachedTokens(*offer));
    }
  }
  if (mIsRunning) {
    const auto elapsed =
      static_cast<double>((mQueue.Now() - mUpdatedAt).count());
    work += std::max(0.0, mRemainingMicros - elapsed / Slowness());
  }
  return MicrosToDuration(work * Slowness());
}

void
FakePrefill::AddJob(const CallServer& aCall, CallHandlers aHandlers)
{
  mReceived[aCall.mAttempt] = true;
  if (mJobs.size() >= static_cast<std::size_t>(kPrefillSlots) ||
      mCancelledAttempts.contains(aCall.mAttempt)) {
    Reply(aHandlers, CallStatus::kRefused);
    return;
  }
  const auto& call = std::get<PrefillCall>(aCall.mCall);
  Job job{
    aCall.mAttempt, call.mPriority, call.mPromptTokens, std::move(aHandlers)
  };
  const auto first = mJobs.begin() + (mIsRunning ? 1 : 0);
  const auto position = std::find_if(first, mJobs.end(), [&](const Job& aJob) {
    return aJob.mPriority < job.mPriority;
  });
  mJobs.insert(position, std::move(job));
  StartNextJob();
}

void
FakePrefill::StartNextJob()
{
  if (mIsRunning || mJobs.empty()) {
    return;
  }
  const Job& job = mJobs.front();
  const Offer* offer = mOfferLookup.OfferOf(job.mAttempt);
  mIsRunning = true;
  mRunningTokens =
    offer == nullptr ? job.mPromptTokens : UncachedTokens(*offer);
  mRunningCachedTokens = job.mPromptTokens - mRunningTokens;
  mRemainingMicros = PrefillMicros(mRunningTokens);
  mUpdatedAt = mQueue.Now();
  Schedule();
}

void
FakePrefill::UpdateRemainingWork()
{
  if (mIsRunning) {
    const auto elapsed =
      static_cast<double>((mQueue.Now() - mUpdatedAt).count());
    mRemainingMicros -= elapsed / Slowness();
  }
  mUpdatedAt = mQueue.Now();
}

void
FakePrefill::Schedule()
{
  if (!mIsRunning) {
    return;
  }
  const std::uint64_t scheduleNumber = ++mScheduleNumber;
  const double remaining = std::max(0.0, mRemainingMicros) * Slowness();
  mQueue.After(MicrosToDuration(remaining + kRoundingMicros),
               [this, scheduleNumber] {
                 if (scheduleNumber == mScheduleNumber) {
                   Finish();
                 }
               });
}

void
FakePrefill::Finish()
{
  const Job job = std::move(mJobs.front());
  mJobs.erase(mJobs.begin());
  mIsRunning = false;
  AttemptMetrics& metrics = mMetrics[job.mAttempt];
  metrics.mPrefillTokens += mRunningTokens;
  metrics.mPrefilledAt = mQueue.Now();
  const Offer* offer = mOfferLookup.OfferOf(job.mAttempt);
  if (offer != nullptr && offer->mPrefix != 0) {
    mCache.Use(offer->mPrefix, offer->mPrefixTokens);
  }
  mResults[job.mAttempt] = mQueue.Now() + kResultLifetime;
  ServerReply reply{ CallStatus::kOk };
  reply.mTokens = job.mPromptTokens;
  reply.mCachedTokens = mRunningCachedTokens;
  job.mHandlers.mReply(reply);
  StartNextJob();
}

// A result whose transfer has not started when its lifetime ends is evicted.
void
FakePrefill::Transfer(const CallServer& aCall, const CallHandlers& aHandlers)
{
  const auto result = mResults.find(aCall.mAttempt);
  const Offer* offer = mOfferLookup.OfferOf(aCall.mAttempt);
  const auto& call = std::get<TransferCall>(aCall.mCall);
  const auto peer = mDecodeServers.find(call.mTo);
  if (result == mResults.end() || result->second < mQueue.Now() ||
      offer == nullptr || peer == mDecodeServers.end()) {
    Reply(aHandlers, CallStatus::kRefused);
    return;
  }
  FakeDecode* decode = peer->second;
  const int tokens = offer->mRequest.mPromptTokens;
  const ZoneName& from = Server().mZone;
  const ZoneName& to = decode->Server().mZone;
  const TransferTimes estimate =
    mLinks.EstimateTransfer(mQueue.Now(), Server().mName, from, to, tokens);
  if (estimate.mStartsAt > result->second) {
    mQueue.At(result->second,
              [aHandlers] { Reply(aHandlers, CallStatus::kRefused); });
    return;
  }
  mLinks.BookTransfer(mQueue.Now(), Server().mName, from, to, tokens);
  mResults.erase(result);
  mQueue.At(estimate.mEndsAt, [attempt = aCall.mAttempt, decode, aHandlers] {
    const bool isImported = decode->Import(attempt);
    Reply(aHandlers, isImported ? CallStatus::kOk : CallStatus::kFailed);
  });
}

void
FakePrefill::Cancel(const AttemptId& aAttempt)
{
  mCancelledAttempts[aAttempt] = true;
  mResults.erase(aAttempt);
  const auto it =
    std::find_if(mJobs.begin(), mJobs.end(), [&](const Job& aJob) {
      return aJob.mAttempt == aAttempt;
    });
  if (it == mJobs.end()) {
    return;
  }
  const bool wasRunning = mIsRunning && it == mJobs.begin();
  if (wasRunning) {
    // Counts the tokens computed before the cancellation; they are wasted.
    UpdateRemainingWork();
    const double doneMicros = PrefillMicros(mRunningTokens) - mRemainingMicros;
    AttemptMetrics& metrics = mMetrics[aAttempt];
    metrics.mPrefillTokens +=
      std::max(0, static_cast<int>(doneMicros / kPrefillPerTokenMicros));
    metrics.mPrefilledAt = mQueue.Now();
  }
  mJobs.erase(it);
  if (wasRunning) {
    mIsRunning = false;
    ++mScheduleNumber;
    StartNextJob();
  }
}

} // namespace heatherfork::bench
