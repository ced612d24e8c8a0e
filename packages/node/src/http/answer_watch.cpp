#include "heatherfork/detail/http/answer_watch.h"

#include <Poco/Net/HTTPServerRequestImpl.h>

namespace heatherfork::detail {

// A write blocks for as long as its reader pauses, and would hold its thread,
// and a planned stop, for good.
ConnectionDeadlines::Watch
WatchAnswer(const HttpContext& aContext,
            Poco::Net::HTTPServerRequest& aRequest,
            Duration aTimeout)
{
  auto& request = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest);
  return { aContext.mDeadlines,
           request.socket(),
           aTimeout,
           ConnectionDeadlines::Use::kAnswering };
}

ConnectionDeadlines::Watch
WatchAnswer(const HttpContext& aContext, Poco::Net::HTTPServerRequest& aRequest)
{
  return WatchAnswer(aContext, aRequest, aContext.mSettings.mBodyTimeout);
}

} // namespace heatherfork::detail
