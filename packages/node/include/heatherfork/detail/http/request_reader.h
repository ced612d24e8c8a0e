#pragma once

#include <string>
#include <variant>

#include "heatherfork/configuration.h"
#include "heatherfork/request.h"

/// Parses and validates callers' requests (docs/protocols/caller.md).
namespace heatherfork::detail {

/// The parts of an HTTP request that ReadRequest parses.
struct CallerInput
{
  std::string mPath;
  std::string mBody;

  auto operator<=>(const CallerInput&) const = default;
};

/// Either a validated request or the error found in the input.
using RequestResult = std::variant<Request, Error>;

/// Parses and validates a request of a known workspace. Never throws. O(n).
RequestResult
ReadRequest(const CallerInput& aInput,
            const Configuration& aConfiguration,
            const Workspace& aWorkspace,
            Instant aNow);

/// Returns the workspace with this key, or null.
const Workspace*
FindWorkspaceByKey(const Configuration& aConfiguration,
                   const std::string& aKey);

} // namespace heatherfork::detail
