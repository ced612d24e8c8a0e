#include "heatherfork/detail/runtime/node_view.h"

namespace heatherfork::detail {

const char*
ToString(Condition aCondition)
{
  switch (aCondition) {
    case Condition::kStarting:
      return "starting";
    case Condition::kServing:
      return "serving";
    case Condition::kLeaving:
      return "leaving";
  }
  return "";
}

} // namespace heatherfork::detail
