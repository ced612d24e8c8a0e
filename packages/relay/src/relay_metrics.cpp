#include "heatherfork/detail/relay/relay_metrics.h"

#include <algorithm>

#include <prometheus/text_serializer.h>

namespace heatherfork::relay {

namespace {

// In seconds: from short service calls to the longest streams.
const prometheus::Histogram::BucketBoundaries kSecondsBuckets{
  0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.5, 2.5, 5, 10, 20
};

// A histogram has as many lines as buckets, and one for each outcome.
constexpr std::size_t kMaxWorkspaceLabels = 32;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::string
MakeResponse(const char* aStatus,
             const std::string& aType,
             const std::string& aText)
{
  return "HTTP/1.1 " + std::string(aStatus) + "\r\nContent-Type: " + aType +
         "\r\nContent-Length: " + std::to_string(aText.size()) + "\r\n\r\n" +
         aText;
}

} // namespace

RelayMetrics::RelayMetrics()
  : mOutcomes(prometheus::BuildCounter()
                .Name("heatherfork_relay_outcomes_total")
                .Help("Outcomes of requests, by service.")
                .Register(mRegistry))
  , mEvents(prometheus::BuildCounter()
              .Name("heatherfork_relay_events_total")
              .Help("Decisions and changes of belief, as in the log.")
              .Register(mRegistry))
  , mRefusals(prometheus::BuildCounter()
                .Name("heatherfork_relay_refusals_total")
                .Help("Errors of this node to callers, by identifier.")
                .Register(mRegistry))
  , mFirstEvent(prometheus::BuildHistogram()
                  .Name("heatherfork_relay_first_event_seconds")
                  .Help("Time from a request to its stream's first event.")
                  .Register(mRegistry))
  , mDuration(prometheus::BuildHistogram()
                .Name("heatherfork_relay_request_seconds")
                .Help("Time from a request to its last word.")
                .Register(mRegistry))
  , mWorkspaceDuration(
      prometheus::BuildHistogram()
        .Name("heatherfork_relay_workspace_seconds")
        .Help("Time from a request to its last word, by workspace; the smaller "
              "ones together.")
        .Register(mRegistry))
  , mWorkspaceLabels(kMaxWorkspaceLabels)
  , mMembers(prometheus::BuildGauge()
               .Name("heatherfork_members")
               .Help("Nodes, by what this one holds of them.")
               .Register(mRegistry))
  , mUpdateAge(prometheus::BuildGauge()
                 .Name("heatherfork_store_news_age_seconds")
                 .Help("Since the store or a peer last said what is in force.")
                 .Register(mRegistry))
  , mKeyProofAge(
      prometheus::BuildGauge()
        .Name("heatherfork_key_proof_age_seconds")
        .Help("Since the keys in force here were surely the store's.")
        .Register(mRegistry))
  , mServerLimits(prometheus::BuildGauge()
                    .Name("heatherfork_server_limit_per_second")
                    .Help("Limits that replicas named in answers to this node.")
                    .Register(mRegistry))
  , mServerLimitAges(prometheus::BuildGauge()
                       .Name("heatherfork_server_limit_age_seconds")
                       .Help("Since an answer last named the limit.")
                       .Register(mRegistry))
  , mQuotaUnits(prometheus::BuildGauge()
                  .Name("heatherfork_quota_units")
                  .Help("Units of a workspace's quota since there is demand, "
                        "of the workspaces with the most used units.")
                  .Register(mRegistry))
  , mOwnedQuotas(prometheus::BuildGauge()
                   .Name("heatherfork_quota_buckets")
                   .Help("Workspaces that get credit of this node.")
                   .Register(mRegistry)
                   .Add({}))
  , mOpenRequests(prometheus::BuildGauge()
                    .Name("heatherfork_relay_open_requests")
                    .Help("Requests without a last word.")
                    .Register(mRegistry)
                    .Add({}))
  , mReplicas(prometheus::BuildGauge()
                .Name("heatherfork_replicas")
                .Help("Replicas in force.")
                .Register(mRegistry)
                .Add({}))
  , mRevision(prometheus::BuildGauge()
                .Name("heatherfork_configuration_revision")
                .Help("The configuration revision in force; 0: none.")
                .Register(mRegistry)
                .Add({}))
  , mLeaving(prometheus::BuildGauge()
               .Name("heatherfork_leaving")
               .Help("1 from the begin of a planned stop.")
               .Register(mRegistry)
               .Add({}))
  , mDroppedLines(prometheus::BuildGauge()
                    .Name("heatherfork_log_lines_dropped")
                    .Help("Lines of the log that nobody read in time.")
                    .Register(mRegistry)
                    .Add({}))
  , mMemory(prometheus::BuildGauge()
              .Name("heatherfork_memory_bytes")
              .Help("Granted to requests and held for answers, by part.")
              .Register(mRegistry))
  , mWaitingBodies(prometheus::BuildGauge()
                     .Name("heatherfork_waiting_bodies")
                     .Help("Bodies that wait for memory to be read.")
                     .Register(mRegistry)
                     .Add({}))
  , mPausedReaders(
      prometheus::BuildGauge()
        .Name("heatherfork_paused_readers")
        .Help("Callers that are there but have stopped reading answers.")
        .Register(mRegistry)
        .Add({}))
{
}

void
RelayMetrics::On(const RelayOutcomeMeasured& aMeasured)
{
  const std::map<std::string, std::string> labels{
    { "service", aMeasured.mService.mValue },
    { "outcome", ToString(aMeasured.mOutcome) }
  };
  const double took = ToSeconds(aMeasured.mElapsed);
  mOutcomes.Add(labels).Increment();
  if (aMeasured.mOutcome == RelayOutcome::kBegan) {
    mFirstEvent
      .Add({ { "service", aMeasured.mService.mValue } }, kSecondsBuckets)
      .Observe(took);
  } else {
    mDuration.Add(labels, kSecondsBuckets).Observe(took);
    CountWorkspace(aMeasured);
  }
}

void
RelayMetrics::CountWorkspace(const RelayOutcomeMeasured& aMeasured)
{
  if (aMeasured.mWorkspace.Empty()) {
    return;
  }
  const WorkspaceLabels::Change change =
    mWorkspaceLabels.Count(aMeasured.mWorkspace);
  const auto replaced = mByWorkspace.find(change.mReplaced.mValue);
  if (replaced != mByWorkspace.end()) {
    for (prometheus::Histogram* histogram : replaced->second) {
      mWorkspaceDuration.Remove(histogram);
    }
    mByWorkspace.erase(replaced);
  }
  prometheus::Histogram& histogram =
    mWorkspaceDuration.Add({ { "tenant", change.mLabel },
                             { "outcome", ToString(aMeasured.mOutcome) } },
                           kSecondsBuckets);
  std::vector<prometheus::Histogram*>& known = mByWorkspace[change.mLabel];
  if (std::find(known.begin(), known.end(), &histogram) == known.end()) {
    known.push_back(&histogram);
  }
  histogram.Observe(ToSeconds(aMeasured.mElapsed));
}

void
RelayMetrics::On(const RefuseCaller& aRefused)
{
  const std::string_view identifier = InfoOf(aRefused.mError.mCode).mIdentifier;
  mRefusals.Add({ { "error", std::string(identifier) } }).Increment();
}

void
RelayMetrics::On(const RelayLogEntry& aEntry)
{
  mEvents.Add({ { "event", aEntry.mEvent } }).Increment();
}

void
RelayMetrics::SetState(const RelayView& aView, const Members& aMembers)
{
  std::map<std::string, int> counts;
  for (const MemberStatus status : { MemberStatus::kAlive,
                                     MemberStatus::kSuspect,
                                     MemberStatus::kLeaving,
                                     MemberStatus::kDead }) {
    counts[heatherfork::ToString(status)] = 0;
  }
  for (const Member& member : aMembers) {
    ++counts[heatherfork::ToString(member.mStatus)];
  }
  for (const auto& [status, count] : counts) {
    mMembers.Add({ { "status", status } }).Set(count);
  }
  mOpenRequests.Set(static_cast<double>(aView.mOpenRequests));
  mReplicas.Set(static_cast<double>(aView.mReplicas));
  mRevision.Set(aView.mRouting == nullptr
                  ? 0
                  : static_cast<double>(aView.mRouting->mRevision));
  mLeaving.Set(aView.mLeaving ? 1 : 0);
}

void
RelayMetrics::SetQuotas(const RelayView& aView)
{
  for (prometheus::Gauge* gauge : mQuotas) {
    mQuotaUnits.Remove(gauge);
  }
  mQuotas.clear();
  for (const QuotaCounts& counts : aView.mQuotas) {
    const std::pair<const char*, std::int64_t> kinds[] = {
      { "lent", counts.mLent },
      { "used", counts.mUsed },
      { "returned", counts.mReturned },
      { "refused", counts.mRefused },
    };
    for (const auto& [kind, units] : kinds) {
      prometheus::Gauge& gauge = mQuotaUnits.Add(
        { { "tenant", counts.mWorkspace.mValue }, { "kind", kind } });
      gauge.Set(static_cast<double>(units));
      mQuotas.push_back(&gauge);
    }
  }
  mOwnedQuotas.Set(static_cast<double>(aView.mOwnedQuotas));
}

void
RelayMetrics::SetLimits(const std::vector<ServerLimit>& aLimits)
{
  for (const auto& [rate, age] : mLimits) {
    mServerLimits.Remove(rate);
    mServerLimitAges.Remove(age);
  }
  mLimits.clear();
  for (const ServerLimit& limit : aLimits) {
    const std::map<std::string, std::string> labels{ { "server",
                                                       limit.mServer.mValue } };
    prometheus::Gauge& rate = mServerLimits.Add(labels);
    prometheus::Gauge& age = mServerLimitAges.Add(labels);
    rate.Set(limit.mRate.PerSecond());
    age.Set(ToSeconds(limit.mAge));
    mLimits.emplace_back(&rate, &age);
  }
}

void
RelayMetrics::SetUpdateAge(const std::string& aReader, Duration aAge)
{
  mUpdateAge.Add({ { "reader", aReader } }).Set(ToSeconds(aAge));
}

void
RelayMetrics::SetKeyProofAge(std::optional<Duration> aAge)
{
  if (aAge) {
    mKeyProofAge.Add({}).Set(ToSeconds(*aAge));
  }
}

void
RelayMetrics::SetDroppedLines(std::uint64_t aCount)
{
  mDroppedLines.Set(static_cast<double>(aCount));
}

void
RelayMetrics::SetMemory(const std::string& aPart, std::size_t aBytes)
{
  mMemory.Add({ { "part", aPart } }).Set(static_cast<double>(aBytes));
}

void
RelayMetrics::SetWaitingBodies(std::size_t aCount)
{
  mWaitingBodies.Set(static_cast<double>(aCount));
}

void
RelayMetrics::SetPausedReaders(std::size_t aCount)
{
  mPausedReaders.Set(static_cast<double>(aCount));
}

std::string
RelayMetrics::Serialize() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

MetricsListener::MetricsListener(
  std::function<std::string()> aGetMetrics,
  std::function<void(const ReaderReport&)> aOnReader)
  : mGetMetrics(std::move(aGetMetrics))
  , mOnReader(std::move(aOnReader))
{
}

void
MetricsListener::OnRequest(CallerResponse aResponse,
                           const HttpHead& aHead,
                           std::string /*aBody*/)
{
  const bool isKnown = aHead.mMethod == "GET" && aHead.mTarget == "/metrics";
  aResponse.Send(
    isKnown
      ? MakeResponse("200 OK", "text/plain; version=0.0.4", mGetMetrics())
      : MakeResponse("404 Not Found", "text/plain", "only GET /metrics\n"));
  aResponse.Finish(true);
}

void
MetricsListener::OnUnreadRequest(CallerResponse aResponse,
                                 const HttpHead& aHead)
{
  OnRequest(std::move(aResponse), aHead, {});
}

void
MetricsListener::OnBadRequest(CallerResponse aResponse, int /*aStatus*/)
{
  aResponse.Send(
    MakeResponse("400 Bad Request", "text/plain", "only GET /metrics\n"));
  aResponse.Finish(false);
}

void
MetricsListener::OnDisconnect(const CallerConnection& /*aConnection*/)
{
}

} // namespace heatherfork::relay
