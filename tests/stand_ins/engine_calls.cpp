#include "fake_engine.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include <absl/strings/str_cat.h>

namespace heatherfork::stand_in {

namespace {

/// SimulateWork sleeps in steps of this length, so that a changed slowdown
/// factor also applies to running calls.
constexpr microseconds kWorkStep{ 2000 };

} // namespace

int
HttpStatus(const absl::Status& aStatus)
{
  switch (aStatus.code()) {
    case absl::StatusCode::kOk:
      return 200;
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kOutOfRange:
      return 410;
    case absl::StatusCode::kAborted:
      return 412;
    case absl::StatusCode::kInternal:
      return 500;
    case absl::StatusCode::kUnavailable:
      return 502;
    default:
      return 409;
  }
}

void
SendStatus(Responder& aResponder, const absl::Status& aStatus)
{
  Json body;
  if (!aStatus.ok()) {
    body.set("error", std::string(aStatus.message()));
  }
  aResponder.Send(HttpStatus(aStatus), ToText(body));
}

absl::StatusOr<AttemptKey>
AttemptOf(const Call& aCall)
{
  return ParseAttempt(TextOf(*aCall.mJson, "attempt"));
}

std::string
TextOf(const Json& aBody, const std::string& aField)
{
  return aBody.optValue<std::string>(aField, "");
}

const std::map<std::string, FakeEngine::Method> FakeEngine::kMethods{
  { "/v1/reserve", &FakeEngine::Reserve },
  { "/v1/prefill", &FakeEngine::Prefill },
  { "/v1/transfer", &FakeEngine::Transfer },
  { "/v1/import", &FakeEngine::Import },
  { "/v1/decode", &FakeEngine::Decode },
  { "/v1/cancel", &FakeEngine::Cancel },
  { "/v1/cancel-range", &FakeEngine::CancelRange },
  { "/v1/load", &FakeEngine::ReportLoad },
  { "/v1/cache-events", &FakeEngine::ReportCacheEvents },
  { "/v1/orders", &FakeEngine::Order },
};

FakeEngine::FakeEngine(EngineOptions aOptions)
  : mOptions(std::move(aOptions))
  , mAttempts(mOptions.mCapacity)
  , mHistory(mOptions.mLoadLag)
  , mCache(mOptions.mCache)
  , mRole(mOptions.mRole)
{
  if (!mOptions.mModel.empty()) {
    mVersionOfModel[mOptions.mModel] = mOptions.mVersion;
  }
}

void
FakeEngine::Handle(const Call& aCall, Responder& aResponder)
{
  const auto it = kMethods.find(aCall.mPath);
  if (it == kMethods.end()) {
    aResponder.Send(404);
    return;
  }
  WithLock([&](Instant) {
    ++mCalls[aCall.mPath];
    const auto attempt = TextOf(*aCall.mJson, "attempt");
    if (!attempt.empty()) {
      ++mArrivals[absl::StrCat(aCall.mPath, " ", attempt)];
    }
  });
  (this->*it->second)(aCall, aResponder);
}

void
FakeEngine::SimulateWork(microseconds aCost) const
{
  auto remaining = aCost;
  while (remaining.count() > 0) {
    const auto step = std::min(remaining, kWorkStep);
    const auto factor = mFaults.Current().mSlowdownFactor / mOptions.mSpeed;
    std::this_thread::sleep_for(std::chrono::duration<double, std::micro>(
      static_cast<double>(step.count()) * factor));
    remaining -= step;
  }
}

void
FakeEngine::CrashIfMarked(const std::string& aPrompt) const
{
  const auto marker = mFaults.Current().mCrashMarker;
  if (!marker.empty() && aPrompt.find(marker) != std::string::npos) {
    std::_Exit(EXIT_FAILURE);
  }
}

void
FakeEngine::WithLock(const std::function<void(Instant)>& aBody)
{
  const std::lock_guard lock(mMutex);
  const auto now = std::chrono::steady_clock::now();
  mHistory.Record(now, CurrentLoad(now));
  aBody(now);
  mHistory.Record(now, CurrentLoad(now));
}

Load
FakeEngine::CurrentLoad(Instant aNow)
{
  const auto usage = mAttempts.CurrentUsage(aNow);
  const auto queued = mPrefillQueue.WaitingCount();
  return { .mRunning = usage.mSlots - queued,
           .mQueued = queued,
           .mFreePieces = mAttempts.Limits().mPieces - usage.mPieces };
}

} // namespace heatherfork::stand_in
