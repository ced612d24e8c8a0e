#pragma once

#include <map>
#include <utility>

#include "heatherfork/detail/scheduling/linear_fit.h"
#include "heatherfork/detail/scheduling/slowness.h"
#include "heatherfork/ids.h"

/// Predicted durations of request steps, learned from placements.
namespace heatherfork::detail {

/// Predicts step durations for servers of normal speed and the relative speed
/// of links between availability zones. Internal units are microseconds.
class TimeModel
{
public:
  /// Prefill time without the cached prefix.
  Duration Prefill(int aUncachedTokens) const;

  /// Time between two tokens at a batch size.
  Duration Token(int aBatch) const;

  /// Time from the decode call to its first token.
  Duration FirstStep(int aBatch) const;

  Duration Transfer(int aTokens) const;
  Duration PlainCall() const;

  /// Largest batch size that meets the token target on a server of the given
  /// slowness.
  int BatchLimit(const SchedulingSettings& aSettings,
                 int aSlots,
                 double aSlowness) const;

  /// Ratio of the transfer time of a link to the usual transfer time.
  double LinkSlowness(Instant aNow,
                      const SchedulingSettings& aSettings,
                      const ZoneName& aFrom,
                      const ZoneName& aTo) const;

  // The functions with a result return the ratio of the observed to the
  // expected duration.
  double ObservePrefill(int aUncachedTokens, Duration aTook);
  double ObserveFirstStep(int aBatch, Duration aTook) const;
  void ObserveTokens(double aBatch, double aTokenMicroseconds);
  double ObservePlainCall(Duration aTook);
  void ObserveTransfer(Instant aNow,
                       const ZoneName& aFrom,
                       const ZoneName& aTo,
                       int aTokens,
                       Duration aTook);

  /// Accepts outliers as samples. Used when most servers appear slow, which
  /// means that the model is wrong.
  void SetAcceptAll(bool aAccept) { mAcceptAll = aAccept; }
  bool AcceptsAll() const { return mAcceptAll; }

private:
  bool IsPlausible(double aRatio, double aMaxRatio) const;

  LinearFit mPrefill{ 5000, 25, 10000 };
  LinearFit mToken{ 10000, 1500, 20 };
  LinearFit mTransfer{ 2000, 10, 10000 };
  LinearFit mPlainCall{ 20000, 0, 1 };
  std::map<std::pair<ZoneName, ZoneName>, Slowness> mLinks;
  bool mAcceptAll = false;
};

} // namespace heatherfork::detail
