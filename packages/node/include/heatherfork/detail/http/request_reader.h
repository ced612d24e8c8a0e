#pragma once

#include <string>
#include <variant>

#include "heatherfork/configuration.h"
#include "heatherfork/request.h"

/// Callers' input as checked values (docs/protocols/caller.md).
namespace heatherfork::detail {

/// The parts of an HTTP request that matter.
struct CallerInput
{
  std::string mPath;
  std::string mBody;

  auto operator<=>(const CallerInput&) const = default;
};

/// Either a checked request or what is wrong with the input.
using RequestResult = std::variant<Request, Error>;

/// Reads and checks a request of a known workspace. Never throws. O(n).
RequestResult
ReadRequest(const CallerInput& aInput,
            const Configuration& aConfiguration,
            const Workspace& aWorkspace,
            Instant aNow);

/// The workspace whose key this is; null when there is none.
const Workspace*
FindWorkspaceByKey(const Configuration& aConfiguration,
                   const std::string& aKey);

} // namespace heatherfork::detail
