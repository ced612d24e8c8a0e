#include "heatherfork/detail/metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace heatherfork::detail {

namespace {

using prometheus::Histogram;

// Upper bounds in seconds. 0.94 s is the target for the first token.
const Histogram::BucketBoundaries kSecondsBuckets{ 0.001, 0.005, 0.01, 0.05,
                                                   0.1,   0.25,  0.5,  0.94,
                                                   2,     5,     10,   60 };

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::map<std::string, std::string>
LabelsOf(const Request& aRequest)
{
  return { { "tenant", aRequest.mWorkspace.mValue },
           { "class", aRequest.mClass.mValue } };
}

// Returns false for errors where the class may be a caller's free text, which
// must not become a label.
bool
HasKnownClass(const Answer& aAnswer)
{
  if (aAnswer.mOk) {
    return true;
  }
  switch (aAnswer.mError.mCode) {
    case ErrorCode::kUnknownClass:
    case ErrorCode::kUnknownModel:
    case ErrorCode::kUnknownCall:
    case ErrorCode::kStarting:
      return false;
    default:
      return true;
  }
}

std::string
ResultOf(const Answer& aAnswer)
{
  return aAnswer.mOk ? "ok"
                     : std::string(InfoOf(aAnswer.mError.mCode).mIdentifier);
}

} // namespace

Metrics::Metrics()
  : mAnswers(prometheus::BuildCounter()
               .Name("heatherfork_answers_total")
               .Help("Answers to callers, by result.")
               .Register(mRegistry))
  , mBadInputs(prometheus::BuildCounter()
                 .Name("heatherfork_bad_inputs_total")
                 .Help("Input refused before it was a request, by error.")
                 .Register(mRegistry))
  , mLostCallers(prometheus::BuildCounter()
                   .Name("heatherfork_lost_callers_total")
                   .Help("Callers that got no whole answer, as they are gone "
                         "or read too slowly.")
                   .Register(mRegistry))
  , mFirstToken(prometheus::BuildHistogram()
                  .Name("heatherfork_first_token_seconds")
                  .Help("Time from a request to its first token.")
                  .Register(mRegistry))
  , mDuration(prometheus::BuildHistogram()
                .Name("heatherfork_request_seconds")
                .Help("Time from a request to its whole answer.")
                .Register(mRegistry))
  , mOpenCallers(prometheus::BuildGauge()
                   .Name("heatherfork_open_callers")
                   .Help("Callers that wait for an answer.")
                   .Register(mRegistry)
                   .Add({}))
  , mRevision(prometheus::BuildGauge()
                .Name("heatherfork_configuration_revision")
                .Help("The configuration revision in force.")
                .Register(mRegistry)
                .Add({}))
{
}

void
Metrics::OnFirstToken(const Request& aRequest, Duration aElapsed)
{
  mFirstToken.Add(LabelsOf(aRequest), kSecondsBuckets)
    .Observe(ToSeconds(aElapsed));
}

void
Metrics::OnAnswer(const Request& aRequest,
                  const Answer& aAnswer,
                  Duration aElapsed)
{
  std::map<std::string, std::string> labels = LabelsOf(aRequest);
  if (!HasKnownClass(aAnswer)) {
    labels["class"] = "unknown";
  }
  mDuration.Add(labels, kSecondsBuckets).Observe(ToSeconds(aElapsed));
  labels["result"] = ResultOf(aAnswer);
  mAnswers.Add(labels).Increment();
}

void
Metrics::OnBadInput(ErrorCode aCode)
{
  mBadInputs.Add({ { "error", std::string(InfoOf(aCode).mIdentifier) } })
    .Increment();
}

void
Metrics::OnLostCaller(const std::string& aReason)
{
  mLostCallers.Add({ { "reason", aReason } }).Increment();
}

void
Metrics::SetOpenCallers(std::size_t aCount)
{
  mOpenCallers.Set(static_cast<double>(aCount));
}

void
Metrics::SetRevision(Revision aRevision)
{
  mRevision.Set(static_cast<double>(aRevision));
}

std::string
Metrics::Serialize() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace heatherfork::detail
