#pragma once

#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "heatherfork/request.h"

/// Prometheus metrics of a node.
namespace heatherfork::detail {

/// Counters, gauges and histograms. Label values come only from the
/// configuration and the table of errors, never from a caller's input, so
/// their number is bounded.
class Metrics
{
public:
  Metrics();

  void OnFirstToken(const Request& aRequest, Duration aElapsed);
  void OnAnswer(const Request& aRequest,
                const Answer& aAnswer,
                Duration aElapsed);

  /// Counts input that was refused before it became a request.
  void OnBadInput(ErrorCode aCode);

  /// A caller got no whole answer; aReason: "caller-slow" or "caller-gone".
  void OnLostCaller(const std::string& aReason);

  void SetOpenCallers(std::size_t aCount);
  void SetRevision(Revision aRevision);

  /// Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

private:
  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mAnswers;
  prometheus::Family<prometheus::Counter>& mBadInputs;
  prometheus::Family<prometheus::Counter>& mLostCallers;
  prometheus::Family<prometheus::Histogram>& mFirstToken;
  prometheus::Family<prometheus::Histogram>& mDuration;
  prometheus::Gauge& mOpenCallers;
  prometheus::Gauge& mRevision;
};

} // namespace heatherfork::detail
