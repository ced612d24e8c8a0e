#pragma once

#include "heatherfork/time.h"

/// Numbers of the relay's decisions, from the settings file.
namespace heatherfork {

struct RelaySettings
{
  // The budget for sending a request again, of the service over all nodes.
  double mRetryRatio = 0.2; ///< Of the requests in the window.
  int mRetrySlack = 0;      ///< Beside it, of all nodes together.
  Duration mRetryWindow = Milliseconds(10000);

  // Bounds on the age of news.
  Duration mRoutingBound = Milliseconds(2000); ///< Until routes are in force.
  Duration mLeavingBound = Milliseconds(2000); ///< Until a leaving replica is
                                               ///< sent nothing new.

  Duration mGrace = Milliseconds(8000); ///< From the stop signal to the end.
  Duration mEntriesValidity = Milliseconds(2000);

  auto operator<=>(const RelaySettings&) const = default;
};

} // namespace heatherfork
