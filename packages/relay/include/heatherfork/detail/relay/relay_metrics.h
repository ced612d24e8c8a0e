#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "heatherfork/detail/relay/caller_port.h"
#include "heatherfork/detail/relay/workspace_labels.h"
#include "heatherfork/member.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_reducer.h"

/// Metrics of a relaying node.
namespace heatherfork::relay {

/// Label values come only from the configuration and fixed sets, never from a
/// caller, so that their number is bounded.
class RelayMetrics
{
public:
  RelayMetrics();

  void On(const RelayOutcomeMeasured& aMeasured);

  void On(const RefuseCaller& aRefused);

  /// Counts a log event. Also counts events whose log lines are dropped.
  void On(const RelayLogEntry& aEntry);

  void SetState(const RelayView& aView, const Members& aMembers);
  void SetQuotas(const RelayView& aView);
  void SetLimits(const std::vector<ServerLimit>& aLimits);
  void SetUpdateAge(const std::string& aReader, Duration aAge);
  /// Empty if the node has no proof; the metric is left out then.
  void SetKeyProofAge(std::optional<Duration> aAge);
  void SetDroppedLines(std::uint64_t aCount);
  void SetMemory(const std::string& aPart, std::size_t aBytes);
  void SetWaitingBodies(std::size_t aCount);
  void SetPausedReaders(std::size_t aCount);

  /// Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

private:
  void CountWorkspace(const RelayOutcomeMeasured& aMeasured);

  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mOutcomes;
  prometheus::Family<prometheus::Counter>& mEvents;
  prometheus::Family<prometheus::Counter>& mRefusals;
  prometheus::Family<prometheus::Histogram>& mFirstEvent;
  prometheus::Family<prometheus::Histogram>& mDuration;
  prometheus::Family<prometheus::Histogram>& mWorkspaceDuration;
  WorkspaceLabels mWorkspaceLabels;
  /// By label; those of replaced ones are removed.
  std::map<std::string, std::vector<prometheus::Histogram*>> mByWorkspace;
  prometheus::Family<prometheus::Gauge>& mMembers;
  prometheus::Family<prometheus::Gauge>& mUpdateAge;
  prometheus::Family<prometheus::Gauge>& mKeyProofAge;
  prometheus::Family<prometheus::Gauge>& mServerLimits;
  prometheus::Family<prometheus::Gauge>& mServerLimitAges;
  std::vector<std::pair<prometheus::Gauge*, prometheus::Gauge*>> mLimits;
  prometheus::Family<prometheus::Gauge>& mQuotaUnits;
  std::vector<prometheus::Gauge*> mQuotas;
  prometheus::Gauge& mOwnedQuotas;
  prometheus::Gauge& mOpenRequests;
  prometheus::Gauge& mReplicas;
  prometheus::Gauge& mRevision;
  prometheus::Gauge& mLeaving;
  prometheus::Gauge& mDroppedLines;
  prometheus::Family<prometheus::Gauge>& mMemory;
  prometheus::Gauge& mWaitingBodies;
  prometheus::Gauge& mPausedReaders;
};

/// Answers GET /metrics, and 404 to other requests.
class MetricsListener final : public RequestListener
{
public:
  MetricsListener(std::function<std::string()> aGetMetrics,
                  std::function<void(const ReaderReport&)> aOnReader);

  void OnRequest(CallerResponse aResponse,
                 const HttpHead& aHead,
                 std::string aBody) override;
  bool NeedsBody(const HttpHead& /*aHead*/) override { return false; }
  void OnUnreadRequest(CallerResponse aResponse,
                       const HttpHead& aHead) override;
  void OnBadRequest(CallerResponse aResponse, int aStatus) override;
  void OnDisconnect(const CallerConnection& aConnection) override;
  void OnReader(const ReaderReport& aReport) override { mOnReader(aReport); }

private:
  std::function<std::string()> mGetMetrics;
  std::function<void(const ReaderReport&)> mOnReader;
};

} // namespace heatherfork::relay
