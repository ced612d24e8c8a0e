#include "heatherfork/relay_effect.h"

namespace heatherfork {

const char*
ToString(RelayOutcome aOutcome)
{
  switch (aOutcome) {
    case RelayOutcome::kBegan:
      return "began";
    case RelayOutcome::kAnswered:
      return "answered";
    case RelayOutcome::kRefused:
      return "refused";
    case RelayOutcome::kBroken:
      return "broken";
    case RelayOutcome::kAbandoned:
      return "abandoned";
  }
  return "";
}

} // namespace heatherfork
