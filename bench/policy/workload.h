#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "heatherfork/request.h"

/// The requests that callers offer.
namespace heatherfork::bench {

/// One offered request.
struct Offer
{
  int mNumber = 0;
  Instant mAt{};
  Request mRequest;
  int mPrefix = 0; ///< Shared prefix; equal prefixes are equal texts.
  int mPrefixTokens = 0;
  int mOutputTokens = 0; ///< What the engine will generate.
  bool mMayWait = false;
};

/// Offered load over time, as a share of capacity.
struct LoadPoint
{
  Duration mAt{};
  double mShare = 0;
};

using LoadCurve = std::vector<LoadPoint>;

/// The share at a time; linear between the points.
double
ShareAt(const LoadCurve& aCurve, Duration aAt);

/// Draws offers with a seed.
class Workload
{
public:
  Workload(std::uint64_t aSeed, double aRequestsPerSecond, double aPlainShare);

  /// Offers from the start to the curve's last point.
  std::vector<Offer> Make(const LoadCurve& aCurve);

private:
  Offer MakeOne(Instant aAt);
  void MakeCompletion(Offer& aOffer);
  void MakePlainCall(Offer& aOffer);

  std::mt19937_64 mRandom;
  double mRate;
  double mPlainShare;
  std::discrete_distribution<int> mWorkspace;
  int mCount = 0;
};

constexpr int kWorkspaces = 40;

/// The number at the end of each prompt, by which engines find the offer.
std::string
MarkerOf(int aNumber);
int
NumberOf(const std::string& aPrompt);

/// The text and the length of a shared prefix; one for each workspace, from 1.
std::string
PrefixText(int aPrefix, int aTokens);
int
PrefixTokens(int aPrefix);

WorkspaceName
WorkspaceAt(int aIndex);

/// Mean microseconds of prefill and of decode slot time of one completion,
/// without cache hits and at a full batch.
struct MeanWork
{
  double mPrefill = 0;
  double mDecodeSlot = 0;
};
MeanWork
MeasureMeanWork();

} // namespace heatherfork::bench
