#include "workload.h"

#include <algorithm>
#include <cmath>

#include "engine_model.h"

namespace heatherfork::bench {

namespace {

constexpr double kZipfExponent = 1.0;
constexpr int kBytesPerToken = 4;
constexpr int kMinPromptTokens = 30;
constexpr int kMaxPromptTokens = 20000;
constexpr double kMedianPromptTokens = 1500;
constexpr double kPromptSigma = 1.1; ///< Standard deviation of the logarithm.
constexpr int kMinOutputTokens = 4;
constexpr int kMaxOutputTokens = 300;
constexpr double kMedianOutputTokens = 60;
constexpr double kOutputSigma = 0.6;
constexpr double kDeferrableShare = 0.25;   ///< Share of completions.
constexpr double kMustNotRepeatShare = 0.3; ///< Share of plain calls.
constexpr double kSharedPrefixShare = 0.7;  ///< Share of completions.
constexpr int kMaxTokens = 300;
constexpr std::size_t kMarkerBytes = 10;
constexpr Duration kDefaultDeadline = Milliseconds(10000);
constexpr Duration kDeferrableDeadline = Milliseconds(60000);
constexpr Duration kKeyValidity = Milliseconds(60000);

std::vector<double>
ZipfWeights()
{
  std::vector<double> weights;
  for (int n = 1; n <= kWorkspaces; ++n) {
    weights.push_back(1 / std::pow(n, kZipfExponent));
  }
  return weights;
}

int
LogNormal(std::mt19937_64& aRandom,
          double aMedian,
          double aSigma,
          int aMin,
          int aMax)
{
  std::lognormal_distribution<double> draw(std::log(aMedian), aSigma);
  return std::clamp(static_cast<int>(draw(aRandom)), aMin, aMax);
}

int
PrefixTokensOfWorkspace(int aWorkspace)
{
  constexpr int kMinTokens = 300;
  constexpr int kStepTokens = 150;
  constexpr int kLengths = 12;
  return kMinTokens + kStepTokens * (aWorkspace % kLengths);
}

std::string
RandomText(std::uint64_t aSeed, int aTokens)
{
  constexpr int kLetters = 26;
  std::mt19937_64 random(aSeed);
  std::string text;
  text.reserve(static_cast<std::size_t>(aTokens) * kBytesPerToken);
  for (int n = 0; n < aTokens; ++n) {
    const std::uint64_t bits = random();
    for (int letter = 0; letter < kBytesPerToken; ++letter) {
      text += static_cast<char>('a' + (bits >> (letter * 8)) % kLetters);
    }
  }
  return text;
}

} // namespace

double
ShareAt(const LoadCurve& aCurve, Duration aAt)
{
  for (std::size_t n = 1; n < aCurve.size(); ++n) {
    const LoadPoint& from = aCurve[n - 1];
    const LoadPoint& to = aCurve[n];
    if (aAt > to.mAt) {
      continue;
    }
    const auto span = static_cast<double>((to.mAt - from.mAt).count());
    const auto elapsed = static_cast<double>((aAt - from.mAt).count());
    return span <= 0 ? to.mShare
                     : from.mShare + (to.mShare - from.mShare) * elapsed / span;
  }
  return aCurve.back().mShare;
}

WorkspaceName
WorkspaceAt(int aIndex)
{
  return WorkspaceName{ "tenant-" + std::to_string(aIndex) };
}

std::string
MarkerOf(int aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(kMarkerBytes - digits.size(), '0') + digits;
}

int
NumberOf(const std::string& aPrompt)
{
  return std::stoi(aPrompt.substr(aPrompt.size() - kMarkerBytes));
}

std::string
PrefixText(int aPrefix, int aTokens)
{
  return RandomText(static_cast<std::uint64_t>(aPrefix), aTokens);
}

int
PrefixTokens(int aPrefix)
{
  return PrefixTokensOfWorkspace(aPrefix - 1);
}

Workload::Workload(std::uint64_t aSeed,
                   double aRequestsPerSecond,
                   double aPlainShare)
  : mRandom(aSeed)
  , mRequestsPerSecond(aRequestsPerSecond)
  , mPlainShare(aPlainShare)
{
  const auto weights = ZipfWeights();
  mWorkspace = std::discrete_distribution<int>(weights.begin(), weights.end());
}

std::vector<Offer>
Workload::Make(const LoadCurve& aCurve)
{
  constexpr double kMicrosPerSecond = 1e6;
  std::vector<Offer> offers;
  const Instant end{ aCurve.back().mAt };
  Instant at{};
  while (true) {
    const double share = ShareAt(aCurve, at.time_since_epoch());
    std::exponential_distribution<double> gap(mRequestsPerSecond *
                                              std::max(share, 0.01));
    at += MicrosToDuration(gap(mRandom) * kMicrosPerSecond);
    if (at >= end) {
      return offers;
    }
    offers.push_back(MakeOffer(at));
  }
}

Offer
Workload::MakeOffer(Instant aAt)
{
  Offer offer;
  offer.mNumber = ++mOfferCount;
  offer.mAt = aAt;
  offer.mRequest.mFingerprint = mRandom();
  std::uniform_real_distribution<double> draw(0, 1);
  if (draw(mRandom) < mPlainShare) {
    MakePlainCall(offer);
  } else {
    MakeCompletion(offer);
  }
  return offer;
}

void
Workload::MakeCompletion(Offer& aOffer)
{
  std::uniform_real_distribution<double> draw(0, 1);
  const int workspace = mWorkspace(mRandom);
  Request& request = aOffer.mRequest;
  request.mWorkspace = WorkspaceAt(workspace);
  request.mModel = ModelName{ "clerk" };
  aOffer.mMayWait = draw(mRandom) < kDeferrableShare;
  request.mClass = ClassName{ aOffer.mMayWait ? "summary" : "prompt" };
  request.mDeadline =
    aOffer.mAt + (aOffer.mMayWait ? kDeferrableDeadline : kDefaultDeadline);
  request.mStream = true;
  request.mMaxTokens = kMaxTokens;
  request.mPromptTokens = LogNormal(mRandom,
                                    kMedianPromptTokens,
                                    kPromptSigma,
                                    kMinPromptTokens,
                                    kMaxPromptTokens);
  aOffer.mOutputTokens = LogNormal(mRandom,
                                   kMedianOutputTokens,
                                   kOutputSigma,
                                   kMinOutputTokens,
                                   kMaxOutputTokens);
  const int prefix = PrefixTokensOfWorkspace(workspace);
  const bool isShared = draw(mRandom) < kSharedPrefixShare;
  std::string text;
  if (isShared && prefix < request.mPromptTokens) {
    aOffer.mPrefix = workspace + 1;
    aOffer.mPrefixTokens = prefix;
    text = PrefixText(aOffer.mPrefix, prefix);
  }
  text += RandomText(request.mFingerprint,
                     request.mPromptTokens - aOffer.mPrefixTokens);
  text += MarkerOf(aOffer.mNumber);
  request.mBody = std::move(text);
}

void
Workload::MakePlainCall(Offer& aOffer)
{
  std::uniform_real_distribution<double> draw(0, 1);
  Request& request = aOffer.mRequest;
  request.mKind = RequestKind::kPlainCall;
  request.mWorkspace = WorkspaceAt(mWorkspace(mRandom));
  request.mService = ServiceName{ "desk" };
  const bool mustNotRepeat = draw(mRandom) < kMustNotRepeatShare;
  request.mCall = mustNotRepeat ? "reserve" : "stock";
  request.mClass = ClassName{ mustNotRepeat ? "claim" : "lookup" };
  request.mDeadline = aOffer.mAt + kDefaultDeadline;
  if (mustNotRepeat) {
    request.mKey = RequestKey{ "key-" + std::to_string(aOffer.mNumber) };
    request.mKeyExpires = aOffer.mAt + kKeyValidity;
  }
}

MeanCompletionCost
EstimateMeanCompletionCost()
{
  constexpr int kSamples = 20000;
  constexpr int kFullBatch = 20;
  std::mt19937_64 random(1);
  MeanCompletionCost mean;
  for (int n = 0; n < kSamples; ++n) {
    const int prompt = LogNormal(random,
                                 kMedianPromptTokens,
                                 kPromptSigma,
                                 kMinPromptTokens,
                                 kMaxPromptTokens);
    const int output = LogNormal(random,
                                 kMedianOutputTokens,
                                 kOutputSigma,
                                 kMinOutputTokens,
                                 kMaxOutputTokens);
    const double prefill = PrefillMicros(prompt);
    const double transfer =
      kTransferOverheadMicros + kEgressPerTokenMicros * prompt;
    mean.mPrefillMicros += prefill / kSamples;
    mean.mDecodeSlotMicros +=
      (prefill + transfer + output * DecodeStepMicros(kFullBatch)) / kSamples;
  }
  return mean;
}

} // namespace heatherfork::bench
