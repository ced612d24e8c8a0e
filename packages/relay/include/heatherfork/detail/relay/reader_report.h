#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "heatherfork/time.h"

/// What is reported about peers that leave bytes unread.
namespace heatherfork::relay {

/// What has happened to the connection of a reader.
enum class ReaderEvent : std::uint8_t
{
  kPaused,  ///< Nothing read for kPauseLimit; the connection goes on.
  kTooLate, ///< Closed: paused when its request's deadline had passed.
  kNoRoom,  ///< Closed: paused while the node needs its room.
  kSilent,  ///< Closed: its machine does not answer any more.
};

/// One event of one reader.
struct ReaderReport
{
  ReaderEvent mEvent = ReaderEvent::kPaused;
  std::string mRequest; ///< Id of the request last answered; may be empty.
  std::string mAddress; ///< Of the peer; empty if its machine is gone.
  std::size_t mUnreadBytes = 0;
  Duration mWithoutProgress{};

  auto operator<=>(const ReaderReport&) const = default;
};

} // namespace heatherfork::relay
