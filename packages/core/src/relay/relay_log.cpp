#include "heatherfork/detail/relay/relay_log.h"

#include <algorithm>

#include "heatherfork/detail/relay/log_value.h"

namespace heatherfork::detail {

std::string
Quoted(std::string aText)
{
  std::replace(aText.begin(), aText.end(), '"', '\'');
  return '"' + aText + '"';
}

void
LogRequestEvent(RelayContext& aContext,
                const char* aEvent,
                const OpenRequest& aRequest,
                std::string aText)
{
  aText += " age_ms=" +
           std::to_string(ToMilliseconds(aContext.Now() - aRequest.mArrivedAt));
  aContext.Emit(
    RelayLogEntry{ aEvent, aRequest.mRequest.mId, std::move(aText) });
}

void
RecordOutcome(RelayContext& aContext,
              RelayOutcome aOutcome,
              const OpenRequest& aRequest,
              std::string aText)
{
  LogRequestEvent(aContext, ToString(aOutcome), aRequest, std::move(aText));
  aContext.Emit(RelayOutcomeMeasured{ aRequest.mService,
                                      aOutcome,
                                      aContext.Now() - aRequest.mArrivedAt,
                                      aRequest.mWorkspace });
}

void
LogReplicaChanges(RelayContext& aContext,
                  const Replicas& aOld,
                  const Replicas& aNew)
{
  for (const Replica& replica : aNew) {
    const Replica* known = FindReplica(aOld, replica.mName);
    if (known == nullptr || *known != replica) {
      aContext.Emit(
        RelayLogEntry{ "replica",
                       "",
                       "server=" + LogValue(replica.mName.mValue) +
                         " service=" + LogValue(replica.mService.mValue) +
                         " leaving=" + (replica.mLeaving ? "yes" : "no") });
    }
  }
  for (const Replica& replica : aOld) {
    if (FindReplica(aNew, replica.mName) == nullptr) {
      aContext.Emit(RelayLogEntry{
        "replica-gone", "", "server=" + LogValue(replica.mName.mValue) });
    }
  }
}

void
LogReplicaLeaving(RelayContext& aContext, const ServerName& aServer)
{
  aContext.Emit(RelayLogEntry{
    "replica-leaving", "", "server=" + LogValue(aServer.mValue) });
}

} // namespace heatherfork::detail
