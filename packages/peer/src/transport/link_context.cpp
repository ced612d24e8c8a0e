#include "link_context.h"

#include <exception>

namespace heatherfork::detail {

void
LinkContext::ReportLost(const NodeId& aPeer)
{
  try {
    mListener.OnPeerLost(aPeer);
  } catch (const std::exception& e) {
    ReportFault(e.what());
  }
}

void
LinkContext::ReportFault(const std::string& aReason)
{
  try {
    mListener.OnFault(aReason);
  } catch (const std::exception&) {
    // It could not be logged, and the other connections still go on.
  }
}

} // namespace heatherfork::detail
