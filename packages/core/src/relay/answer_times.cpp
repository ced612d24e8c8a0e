#include "heatherfork/detail/relay/answer_times.h"

#include <algorithm>

namespace heatherfork::detail {

namespace {

// Gain of a mean in RFC 6298.
constexpr double kRatioGain = 1.0 / 8;

Duration
ToDuration(double aMicroseconds)
{
  return Duration(static_cast<std::int64_t>(aMicroseconds));
}

double
RatioOf(Duration aElapsed, double aPredicted)
{
  return static_cast<double>(aElapsed.count()) / std::max(1.0, aPredicted);
}

} // namespace

void
AnswerTimes::Observe(const CallWork& aWork,
                     const ServerName& aServer,
                     Duration aElapsed)
{
  const auto elapsed = static_cast<double>(aElapsed.count());
  const auto [it, isFirst] = mEstimates.try_emplace(
    { aWork.mService, aWork.mStage }, Estimate{ LinearFit(elapsed, 0, 1), {} });
  Estimate& estimate = it->second;
  if (isFirst) {
    // The deviation of a first sample is half of it.
    estimate.mError = DurationEstimate(Duration{}, aElapsed / 2);
    return;
  }
  const double predicted = estimate.mFit.Predict(aWork.mPromptTokens);
  ObserveRatio(aServer, RatioOf(aElapsed, predicted));
  estimate.mError.Observe(aElapsed - ToDuration(predicted));
  estimate.mFit.Observe(aWork.mPromptTokens, elapsed);
}

// The answer would have taken longer, so the server's next call has a longer
// timeout, as after a retransmission. Those of its peers are unchanged.
void
AnswerTimes::ObserveSilence(const CallWork& aWork,
                            const ServerName& aServer,
                            Duration aElapsed)
{
  const auto it = mEstimates.find({ aWork.mService, aWork.mStage });
  if (it != mEstimates.end()) {
    ObserveRatio(
      aServer, RatioOf(aElapsed, it->second.mFit.Predict(aWork.mPromptTokens)));
  }
}

void
AnswerTimes::ObserveRatio(const ServerName& aServer, double aRatio)
{
  double& ratio = mRatios.try_emplace(aServer, 1).first->second;
  ratio += kRatioGain * (aRatio - ratio);
}

std::optional<Duration>
AnswerTimes::Upper(const CallWork& aWork, const ServerName& aServer) const
{
  const auto it = mEstimates.find({ aWork.mService, aWork.mStage });
  if (it == mEstimates.end()) {
    return std::nullopt;
  }
  const Duration usual =
    ToDuration(it->second.mFit.Predict(aWork.mPromptTokens)) +
    std::max(kMinRetransmission, it->second.mError.Upper());
  const auto ratio = mRatios.find(aServer);
  return ratio == mRatios.end()
           ? usual
           : ToDuration(static_cast<double>(usual.count()) *
                        std::max(1.0, ratio->second));
}

void
AnswerTimes::OnReplicas(const Replicas& aReplicas)
{
  std::erase_if(mRatios, [&](const auto& aItem) {
    return FindReplica(aReplicas, aItem.first) == nullptr;
  });
}

} // namespace heatherfork::detail
