#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include "stand_in.h"

ABSL_FLAG(int, port, 0, "Port to listen on; 0 picks a free port.");

namespace heatherfork::stand_in {

namespace {

/// Stand-in for a plain service; counts the calls that it receives.
class FakeService : public StandIn
{
public:
  void Handle(const Call& aCall, Responder& aResponder) override;
  void AddCounters(Json& aCounters) override;

private:
  int BeginCall(const Call& aCall);
  void EndCall();
  void ReportLoad(Responder& aResponder);

  std::mutex mMutex;
  int mRunning = 0;
  int mTotal = 0;
  std::map<std::string, int> mArrivals; ///< By path and body.
};

void
FakeService::Handle(const Call& aCall, Responder& aResponder)
{
  if (aCall.mPath == "/v1/load") {
    ReportLoad(aResponder);
    return;
  }
  const auto arrival = BeginCall(aCall);
  const auto faults = mFaults.Current();
  if (faults.mClosesUnanswered ||
      (faults.mClosesKeptAlive && aCall.mIsOnKeptAlive)) {
    aResponder.Close();
  } else {
    Json answer;
    answer.set("call", aCall.mPath.substr(1));
    answer.set("arrival", arrival);
    answer.set("body", aCall.mBody);
    aResponder.Send(200, ToText(answer));
  }
  EndCall();
}

int
FakeService::BeginCall(const Call& aCall)
{
  const std::lock_guard lock(mMutex);
  ++mRunning;
  ++mTotal;
  return ++mArrivals[absl::StrCat(aCall.mPath, " ", aCall.mBody)];
}

void
FakeService::EndCall()
{
  const std::lock_guard lock(mMutex);
  --mRunning;
}

void
FakeService::ReportLoad(Responder& aResponder)
{
  Json answer;
  {
    const std::lock_guard lock(mMutex);
    answer.set("running", mRunning);
  }
  answer.set("queued", 0);
  answer.set("free_pieces", 0);
  answer.set("age_ms", 0);
  aResponder.Send(200, ToText(answer));
}

void
FakeService::AddCounters(Json& aCounters)
{
  const std::lock_guard lock(mMutex);
  Json arrivals;
  for (const auto& [call, n] : mArrivals) {
    arrivals.set(call, n);
  }
  aCounters.set("arrivals", arrivals);
  aCounters.set("total", mTotal);
  aCounters.set("running", mRunning);
}

} // namespace

} // namespace heatherfork::stand_in

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  heatherfork::stand_in::FakeService service;
  return heatherfork::stand_in::Serve(service, absl::GetFlag(FLAGS_port));
}
