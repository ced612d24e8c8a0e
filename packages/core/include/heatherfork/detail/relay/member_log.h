#pragma once

#include <vector>

#include "heatherfork/detail/relay/relay_context.h"

/// Log lines for changes of the members.
namespace heatherfork::detail {

class MemberLog
{
public:
  struct Changes
  {
    bool mAny = false;
    std::vector<NodeId> mJoined;
  };

  /// Logs the changes since the last call; nodes that joined in one line.
  /// aView: rises whenever the members change.
  Changes Update(RelayContext& aContext, std::uint64_t aView);

private:
  Members mLogged;
  std::uint64_t mView = 0; ///< Of mLogged.
};

} // namespace heatherfork::detail
