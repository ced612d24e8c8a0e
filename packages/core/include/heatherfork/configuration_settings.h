#pragma once

#include <absl/status/status.h>

#include "heatherfork/time.h"

/// Intervals and limits of reading and distributing the configuration.
namespace heatherfork {

struct ConfigurationSettings
{
  Duration mWatchSlot = Milliseconds(10000);   ///< A node's time as watcher.
  Duration mWatchWait = Milliseconds(5000);    ///< Long poll of the head.
  Duration mCallGap = Milliseconds(200);       ///< Between head reads.
  Duration mRetryDelay = Milliseconds(1000);   ///< After a failed read.
  Duration mCallTimeout = Milliseconds(2000);  ///< In addition to mWatchWait.
  Duration mPartTimeout = Milliseconds(500);   ///< Then the next peer is asked.
  Duration mAskPeersTime = Milliseconds(3000); ///< Start-up wait for peers.
  int mPeersAsked = 3;                         ///< At start-up.
  int mMaxPartReads = 16;                      ///< Concurrent part reads.

  auto operator<=>(const ConfigurationSettings&) const = default;
};

/// Returns InvalidArgument with name and range of a setting out of range.
absl::Status
CheckSettings(const ConfigurationSettings& aSettings);

} // namespace heatherfork
