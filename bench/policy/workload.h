#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "heatherfork/request.h"

/// Synthetic load from callers.
namespace heatherfork::bench {

/// A request of the workload.
struct Offer
{
  int mNumber = 0;
  Instant mAt{};
  Request mRequest;
  int mPrefix = 0; ///< Identifies the shared prefix; 0 when there is none.
  int mPrefixTokens = 0;
  int mOutputTokens = 0; ///< Number of tokens that the engine generates.
  bool mMayWait = false;
};

/// Offered load at a time, as a share of capacity.
struct LoadPoint
{
  Duration mAt{};
  double mShare = 0;
};

using LoadCurve = std::vector<LoadPoint>;

/// Offered load at aAt, interpolated linearly between the points.
double
ShareAt(const LoadCurve& aCurve, Duration aAt);

/// Generates random requests; equal seeds give equal requests.
class Workload
{
public:
  Workload(std::uint64_t aSeed, double aRequestsPerSecond, double aPlainShare);

  /// Requests from time zero to the curve's last point.
  std::vector<Offer> Make(const LoadCurve& aCurve);

private:
  Offer MakeOffer(Instant aAt);
  void MakeCompletion(Offer& aOffer);
  void MakePlainCall(Offer& aOffer);

  std::mt19937_64 mRandom;
  double mRequestsPerSecond;
  double mPlainShare;
  std::discrete_distribution<int> mWorkspace;
  int mOfferCount = 0;
};

constexpr int kWorkspaces = 40;

/// The number at the end of each prompt, which identifies the request.
std::string
MarkerOf(int aNumber);
int
NumberOf(const std::string& aPrompt);

/// Text and length of a shared prefix. Each workspace has one; numbers start at
/// 1, and equal numbers give equal texts.
std::string
PrefixText(int aPrefix, int aTokens);
int
PrefixTokens(int aPrefix);

WorkspaceName
WorkspaceAt(int aIndex);

/// Mean prefill time and decode slot time of a completion in microseconds,
/// without cache hits and with a full batch.
struct MeanCompletionCost
{
  double mPrefillMicros = 0;
  double mDecodeSlotMicros = 0;
};
MeanCompletionCost
EstimateMeanCompletionCost();

} // namespace heatherfork::bench
