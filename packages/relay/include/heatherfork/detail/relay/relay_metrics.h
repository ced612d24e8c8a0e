#pragma once

#include <functional>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "heatherfork/detail/relay/caller_port.h"
#include "heatherfork/member.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_reducer.h"

/// What a relaying node counts, measures and believes.
namespace heatherfork::relay {

/// Labels come from the configuration and from fixed tables only, never from a
/// caller's text.
class RelayMetrics
{
public:
  RelayMetrics();

  void On(const RelayMeasured& aMeasured);

  /// Each kind of line in the log is counted, also when the line is dropped.
  void On(const RelayNote& aNote);

  void SetBeliefs(const RelayView& aView, const Members& aMembers);
  void SetNewsAge(const std::string& aReader, Duration aAge);
  void SetDroppedLines(std::uint64_t aCount);

  /// All metrics in the Prometheus text format.
  std::string Serialize() const;

private:
  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mOutcomes;
  prometheus::Family<prometheus::Counter>& mEvents;
  prometheus::Family<prometheus::Histogram>& mFirstEvent;
  prometheus::Family<prometheus::Histogram>& mDuration;
  prometheus::Family<prometheus::Gauge>& mMembers;
  prometheus::Family<prometheus::Gauge>& mNewsAge;
  prometheus::Gauge& mOpenRequests;
  prometheus::Gauge& mReplicas;
  prometheus::Gauge& mRevision;
  prometheus::Gauge& mLeaving;
  prometheus::Gauge& mDroppedLines;
};

/// Answers GET /metrics; everything else with 404.
class MetricsListener final : public RequestListener
{
public:
  explicit MetricsListener(std::function<std::string()> aText);

  void OnRequest(CallerConnection& aConnection,
                 const HttpHead& aHead,
                 std::string aBody) override;
  void OnBadRequest(CallerConnection& aConnection, int aStatus) override;
  void OnGone(CallerConnection& aConnection) override;

private:
  std::function<std::string()> mText;
};

} // namespace heatherfork::relay
