#include "fake_engine.h"

#include <algorithm>

#include <Poco/JSON/Array.h>
#include <absl/strings/str_cat.h>

namespace heatherfork::stand_in {

void
FakeEngine::ReportLoad(const Call& /*aCall*/, Responder& aResponder)
{
  Json answer;
  WithLock([&](Instant aNow) {
    const auto load = mHistory.Report(aNow);
    answer.set("running", load.mRunning);
    answer.set("queued", load.mQueued);
    answer.set("free_pieces", load.mFreePieces);
    answer.set("age_ms", mHistory.Lag().count());
  });
  aResponder.Send(200, ToText(answer));
}

void
FakeEngine::ReportCacheEvents(const Call& aCall, Responder& aResponder)
{
  Poco::JSON::Array::Ptr events = new Poco::JSON::Array;
  WithLock([&](Instant aNow) {
    for (const auto& event : mCache.Events(aCall.Parameter("after", 0), aNow)) {
      Json item;
      item.set("sequence", event.mSequence);
      item.set("kind", event.mIsStored ? "stored" : "evicted");
      item.set("prefix",
               absl::StrCat(absl::Hex(event.mPrefix, absl::kZeroPad16)));
      events->add(item);
    }
  });
  Json answer;
  answer.set("events", events);
  aResponder.Send(200, ToText(answer));
}

void
FakeEngine::Order(const Call& aCall, Responder& aResponder)
{
  const auto& order = *aCall.mJson;
  const auto fence = order.optValue<std::uint64_t>("fence", 0);
  absl::Status status;
  WithLock([&](Instant) {
    if (mOptions.mChecksFencing && fence < mFence) {
      status = absl::AbortedError("an older fencing number");
    }
    mFence = std::max(mFence, fence);
  });
  if (status.ok() && TextOf(order, "kind") == "load-model") {
    SimulateWork(mOptions.mWeightLoad);
  }
  WithLock([&](Instant) {
    if (status.ok()) {
      status = ApplyOrder(order);
    }
  });
  SendStatus(aResponder, status);
}

absl::Status
FakeEngine::ApplyOrder(const Json& aOrder)
{
  const auto kind = TextOf(aOrder, "kind");
  const auto model = TextOf(aOrder, "model");
  const auto adapter = TextOf(aOrder, "adapter");
  const bool isBusy =
    mAttempts.CurrentUsage(std::chrono::steady_clock::now()).mSlots > 0;
  if (kind == "load-model") {
    mVersionOfModel[model] = TextOf(aOrder, "version");
  } else if (kind == "load-adapter") {
    mAdapters.insert(adapter);
  } else if (kind == "unload-adapter") {
    mAdapters.erase(adapter);
  } else if (isBusy) {
    return absl::FailedPreconditionError("requests are running");
  } else if (kind == "unload-model") {
    mVersionOfModel.erase(model);
  } else if (kind == "set-role") {
    mRole = aOrder.optValue<std::string>("role", mRole);
  } else {
    return absl::InvalidArgumentError("kind: " + kind);
  }
  return absl::OkStatus();
}

void
FakeEngine::AddCounters(Json& aCounters)
{
  Json arrivals;
  Json calls;
  Json models;
  WithLock([&](Instant aNow) {
    const auto usage = mAttempts.CurrentUsage(aNow);
    aCounters.set("role", mRole);
    aCounters.set("fence", mFence);
    aCounters.set("held_slots", usage.mSlots);
    aCounters.set("held_pieces", usage.mPieces);
    aCounters.set("open_streams", usage.mOpenStreams);
    aCounters.set("tombstones", usage.mTombstones);
    for (const auto& [name, n] : mArrivals) {
      arrivals.set(name, n);
    }
    for (const auto& [path, n] : mCalls) {
      calls.set(path, n);
    }
    for (const auto& [model, version] : mVersionOfModel) {
      models.set(model, version);
    }
  });
  aCounters.set("arrivals", arrivals);
  aCounters.set("calls", calls);
  aCounters.set("models", models);
}

} // namespace heatherfork::stand_in
