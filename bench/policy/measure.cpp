#include "measure.h"

#include <algorithm>

namespace heatherfork::bench {

namespace {

constexpr Duration kFirstTokenTarget = Milliseconds(940);
constexpr Duration kTokenTarget = Milliseconds(55);
/// At most one gap in 20 may exceed the target.
constexpr std::size_t kGapsPerLateToken = 20;
constexpr Duration kRecoveryTime = Milliseconds(2000);

using Flags = std::vector<bool>;

double
Ratio(std::size_t aPart, std::size_t aWhole)
{
  return aWhole == 0 ? 1
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

double
QuantileMs(std::vector<Duration> aTimes, double aQuantile)
{
  if (aTimes.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aTimes.size() - 1);
  const auto n = static_cast<std::ptrdiff_t>(last * aQuantile);
  std::nth_element(aTimes.begin(), aTimes.begin() + n, aTimes.end());
  constexpr double kMicrosPerMilli = 1000;
  return static_cast<double>(aTimes[static_cast<std::size_t>(n)].count()) /
         kMicrosPerMilli;
}

class Meter
{
public:
  Meter(const Scenario& aScenario, const Fleet& aFleet)
    : mScenario(aScenario)
    , mFleet(aFleet)
  {
    for (std::size_t n = 0; n < aFleet.Offers().size(); ++n) {
      mMetTargets.push_back(MeetsTargets(n));
    }
  }

  std::vector<Figure> Figures() const
  {
    const Instant start{ kWarmUp };
    const Instant end{ mScenario.mCurve.back().mAt };
    const bool hasPeak = mScenario.mPeakUntil > mScenario.mPeakFrom;
    const Instant peakFrom{ hasPeak ? mScenario.mPeakFrom : kWarmUp };
    const Instant peakUntil = hasPeak ? Instant{ mScenario.mPeakUntil } : end;
    std::vector<Figure> figures{
      { "goodput", Goodput(start, end) },
      { "wasted_prefill", WastedPrefill(peakFrom, peakUntil) },
      { "crest_service", Goodput(peakFrom, peakUntil) },
      { "first_token_p50_ms", QuantileMs(FirstTokens(), 0.5) },
      { "first_token_p99_ms", QuantileMs(FirstTokens(), 0.99) },
      { "between_tokens_p95_ms", QuantileMs(Gaps(), 0.95) },
    };
    AddAnswerFigures(figures);
    figures.emplace_back("others_goodput", OtherWorkspacesGoodput());
    figures.emplace_back("recovered_goodput", RecoveredGoodput());
    figures.emplace_back("attempts_per_request",
                         Ratio(mFleet.AttemptCount(), mFleet.Offers().size()));
    figures.emplace_back(
      "late_first_token",
      ShareOf([this](std::size_t aIndex) { return IsLate(aIndex); }));
    figures.emplace_back("slow_tokens", ShareOf([this](std::size_t aIndex) {
                           return !IsLate(aIndex) && !mMetTargets[aIndex];
                         }));
    figures.emplace_back("refiled_runs", RunsPerResentRequest());
    return figures;
  }

private:
  const Offer& OfferAt(std::size_t aIndex) const
  {
    return mFleet.Offers()[aIndex];
  }

  const OfferResult& ResultAt(std::size_t aIndex) const
  {
    return mFleet.Results()[aIndex];
  }

  bool IsMeasured(std::size_t aIndex) const
  {
    return OfferAt(aIndex).mAt >= Instant{ kWarmUp };
  }

  bool MeetsTargets(std::size_t aIndex) const
  {
    const Offer& offer = OfferAt(aIndex);
    const OfferResult& result = ResultAt(aIndex);
    if (!result.mAnswer.mOk || IsLate(aIndex)) {
      return false;
    }
    return offer.mRequest.mKind == RequestKind::kPlainCall ||
           MeetsTokenTarget(aIndex);
  }

  bool IsLate(std::size_t aIndex) const
  {
    const OfferResult& result = ResultAt(aIndex);
    const bool isPlain =
      OfferAt(aIndex).mRequest.mKind == RequestKind::kPlainCall;
    const Instant at = isPlain ? result.mAnsweredAt : result.mFirstTokenAt;
    return at == Instant{} || at - OfferAt(aIndex).mAt > kFirstTokenTarget;
  }

  bool MeetsTokenTarget(std::size_t aIndex) const
  {
    const OfferResult& result = ResultAt(aIndex);
    if (result.mAttempts.empty()) {
      return false;
    }
    const auto metrics = mFleet.Metrics().find(result.mAttempts.back());
    if (metrics == mFleet.Metrics().end()) {
      return false;
    }
    const auto& gaps = metrics->second.mGaps;
    const auto lateTokens =
      std::count_if(gaps.begin(), gaps.end(), [](Duration aGap) {
        return aGap > kTokenTarget;
      });
    return static_cast<std::size_t>(lateTokens) * kGapsPerLateToken <=
           gaps.size();
  }

  double Goodput(Instant aFrom, Instant aUntil) const
  {
    std::size_t offered = 0;
    std::size_t good = 0;
    for (std::size_t n = 0; n < mMetTargets.size(); ++n) {
      if (OfferAt(n).mAt >= aFrom && OfferAt(n).mAt < aUntil) {
        ++offered;
        good += mMetTargets[n] ? 1 : 0;
      }
    }
    return Ratio(good, offered);
  }

  template<class Predicate>
  double ShareOf(Predicate aPredicate) const
  {
    std::size_t measured = 0;
    std::size_t matching = 0;
    for (std::size_t n = 0; n < mMetTargets.size(); ++n) {
      measured += IsMeasured(n) ? 1 : 0;
      matching += IsMeasured(n) && aPredicate(n) ? 1 : 0;
    }
    return Ratio(matching, measured);
  }

  double OtherWorkspacesGoodput() const
  {
    std::size_t offered = 0;
    std::size_t good = 0;
    for (std::size_t n = 0; n < mMetTargets.size(); ++n) {
      if (IsMeasured(n) && OfferAt(n).mRequest.mWorkspace != WorkspaceAt(0)) {
        ++offered;
        good += mMetTargets[n] ? 1 : 0;
      }
    }
    return Ratio(good, offered);
  }

  // Goodput after the last fault or load peak, relative to the goodput before.
  double RecoveredGoodput() const
  {
    if (mScenario.mDisruptedUntil == Duration{}) {
      return 1;
    }
    constexpr Duration kBaselineUntil = Milliseconds(8000);
    constexpr Duration kWindow = Milliseconds(5000);
    const double before =
      Goodput(Instant{ kWarmUp }, Instant{ kBaselineUntil });
    const Instant from{ mScenario.mDisruptedUntil + kRecoveryTime };
    return before == 0 ? 0 : Goodput(from, from + kWindow) / before;
  }

  double WastedPrefill(Instant aFrom, Instant aUntil) const
  {
    double all = 0;
    double wasted = 0;
    for (const auto& [attempt, metrics] : mFleet.Metrics()) {
      if (metrics.mPrefilledAt < aFrom || metrics.mPrefilledAt >= aUntil) {
        continue;
      }
      all += metrics.mPrefillTokens;
      wasted += metrics.mHasDecoded ? 0 : metrics.mPrefillTokens;
    }
    return all == 0 ? 0 : wasted / all;
  }

  std::vector<Duration> FirstTokens() const
  {
    std::vector<Duration> times;
    for (std::size_t n = 0; n < mMetTargets.size(); ++n) {
      const bool isInteractive =
        OfferAt(n).mRequest.mKind == RequestKind::kCompletion &&
        !OfferAt(n).mMayWait;
      if (IsMeasured(n) && isInteractive &&
          ResultAt(n).mFirstTokenAt != Instant{}) {
        times.push_back(ResultAt(n).mFirstTokenAt - OfferAt(n).mAt);
      }
    }
    return times;
  }

  std::vector<Duration> Gaps() const
  {
    std::vector<Duration> gaps;
    for (const auto& [attempt, metrics] : mFleet.Metrics()) {
      gaps.insert(gaps.end(), metrics.mGaps.begin(), metrics.mGaps.end());
    }
    return gaps;
  }

  void AddAnswerFigures(std::vector<Figure>& aFigures) const
  {
    std::size_t deferrable = 0;
    std::size_t deferrableAnswered = 0;
    std::size_t refused = 0;
    std::size_t refusedBeforeRun = 0;
    for (std::size_t n = 0; n < mMetTargets.size(); ++n) {
      const OfferResult& result = ResultAt(n);
      const bool isRefused =
        result.mAnsweredAt != Instant{} && !result.mAnswer.mOk &&
        InfoOf(result.mAnswer.mError.mCode).mOutcome == Outcome::kNotRun;
      refused += isRefused ? 1 : 0;
      refusedBeforeRun += isRefused && result.mAttempts.empty() ? 1 : 0;
      deferrable += OfferAt(n).mMayWait && !isRefused ? 1 : 0;
      deferrableAnswered += OfferAt(n).mMayWait && result.mAnswer.mOk ? 1 : 0;
    }
    aFigures.emplace_back("waiting_answered",
                          Ratio(deferrableAnswered, deferrable));
    aFigures.emplace_back("refused", Ratio(refused, mMetTargets.size()));
    aFigures.emplace_back("refused_truthful", Ratio(refusedBeforeRun, refused));
  }

  // Attempts per distinct request that was sent more than once.
  double RunsPerResentRequest() const
  {
    std::size_t requests = 0;
    std::size_t runs = 0;
    for (const OfferResult& result : mFleet.Results()) {
      if (result.mSendCount > 1) {
        ++requests;
        runs += result.mAttempts.size();
      }
    }
    return Ratio(runs, requests);
  }

  const Scenario& mScenario;
  const Fleet& mFleet;
  Flags mMetTargets;
};

} // namespace

Row
Measure(const Scenario& aScenario,
        const Policy& aPolicy,
        std::uint64_t aSeed,
        const Fleet& aFleet)
{
  const Meter meter(aScenario, aFleet);
  return { aScenario.mName, aPolicy.mName, aSeed, meter.Figures() };
}

} // namespace heatherfork::bench
