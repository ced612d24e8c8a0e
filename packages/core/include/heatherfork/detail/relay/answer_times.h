#pragma once

#include <map>
#include <optional>
#include <utility>

#include "heatherfork/detail/scheduling/duration_estimate.h"
#include "heatherfork/detail/scheduling/linear_fit.h"
#include "heatherfork/relay_effect.h"

/// Learned times from a call to the first byte of its answer.
namespace heatherfork::detail {

/// The kind of work that a call asks for.
struct CallWork
{
  ServiceName mService;
  RelayStage mStage = RelayStage::kFullRequest;
  int mPromptTokens = 0;

  auto operator<=>(const CallWork&) const = default;
};

/// Answer times of all servers of a service and stage, and how those of one
/// server compare.
class AnswerTimes
{
public:
  void Observe(const CallWork& aWork,
               const ServerName& aServer,
               Duration aElapsed);

  /// A call that was ended without an answer after aElapsed.
  void ObserveSilence(const CallWork& aWork,
                      const ServerName& aServer,
                      Duration aElapsed);

  /// Nearly all such calls are answered sooner: at the server or, without a
  /// name, at its peers. Empty without samples.
  std::optional<Duration> Upper(const CallWork& aWork,
                                const ServerName& aServer = {}) const;

  /// Drops what is known of servers that are gone.
  void OnReplicas(const Replicas& aReplicas);

private:
  struct Estimate
  {
    LinearFit mFit; ///< Microseconds by tokens of the prompt.
    DurationEstimate mError;
  };

  void ObserveRatio(const ServerName& aServer, double aRatio);

  std::map<std::pair<ServiceName, RelayStage>, Estimate> mEstimates;
  std::map<ServerName, double> mRatios; ///< Observed to predicted time.
};

} // namespace heatherfork::detail
