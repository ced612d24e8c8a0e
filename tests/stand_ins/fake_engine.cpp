#include "fake_engine.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(int, port, 0, "Port to listen on; 0 picks a free port.");
ABSL_FLAG(std::string, role, "prefill", "prefill or decode.");
ABSL_FLAG(std::string, model, "", "Model loaded at startup.");
ABSL_FLAG(std::string, version, "1", "Version of that model.");
ABSL_FLAG(int, slots, 20, "Maximum number of concurrent requests.");
ABSL_FLAG(int, pieces, 200, "Engine memory, in pieces of 2000 tokens.");
ABSL_FLAG(int, result_ms, 800, "Time until a prefilled result is evicted.");
ABSL_FLAG(double, speed, 1, "Factor by which every duration is divided.");
ABSL_FLAG(int, load_lag_ms, 300, "Age of a load report.");
ABSL_FLAG(int, event_lag_ms, 200, "Delay until a cache event is visible.");
ABSL_FLAG(std::uint64_t,
          drop_every,
          0,
          "Every nth cache event is lost; 0 for none.");
ABSL_FLAG(int, weight_load_ms, 500, "Time to load a model's weights.");
ABSL_FLAG(bool,
          checks_fencing,
          false,
          "Refuse orders with an older fencing number.");

namespace {

using heatherfork::stand_in::EngineOptions;
using heatherfork::stand_in::milliseconds;

EngineOptions
OptionsFromFlags()
{
  EngineOptions options;
  options.mRole = absl::GetFlag(FLAGS_role);
  options.mModel = absl::GetFlag(FLAGS_model);
  options.mVersion = absl::GetFlag(FLAGS_version);
  options.mCapacity.mSlots = absl::GetFlag(FLAGS_slots);
  options.mCapacity.mPieces = absl::GetFlag(FLAGS_pieces);
  options.mCapacity.mResultLifetime =
    milliseconds(absl::GetFlag(FLAGS_result_ms));
  options.mCache.mEventLag = milliseconds(absl::GetFlag(FLAGS_event_lag_ms));
  options.mCache.mDropEvery = absl::GetFlag(FLAGS_drop_every);
  options.mLoadLag = milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
  options.mWeightLoad = milliseconds(absl::GetFlag(FLAGS_weight_load_ms));
  options.mSpeed = absl::GetFlag(FLAGS_speed);
  options.mChecksFencing = absl::GetFlag(FLAGS_checks_fencing);
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  heatherfork::stand_in::FakeEngine engine(OptionsFromFlags());
  return heatherfork::stand_in::Serve(engine, absl::GetFlag(FLAGS_port));
}
