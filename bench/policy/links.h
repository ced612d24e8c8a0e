#pragma once

#include <map>
#include <utility>

#include "heatherfork/ids.h"

#include "engine_model.h"
#include "event_queue.h"

/// Network links between prefill and decode engines.
namespace heatherfork::bench {

/// Start and end of a transfer.
struct TransferTimes
{
  Instant mStartsAt{};
  Instant mEndsAt{};
};

/// One egress link per prefill engine and one link per pair of availability
/// zones. Each link carries one transfer at a time.
class Links
{
public:
  /// Multiplies the transfer time between two zones; 1 is the normal rate.
  void SetSlowness(const ZoneName& aFrom, const ZoneName& aTo, double aFactor);

  /// Times of a transfer that is requested at aNow. Reserves nothing.
  TransferTimes EstimateTransfer(Instant aNow,
                                 const ServerName& aServer,
                                 const ZoneName& aFrom,
                                 const ZoneName& aTo,
                                 int aTokens) const;

  /// Reserves the links for a transfer that is requested at aNow.
  TransferTimes BookTransfer(Instant aNow,
                             const ServerName& aServer,
                             const ZoneName& aFrom,
                             const ZoneName& aTo,
                             int aTokens);

private:
  struct Link
  {
    double mSlowness = 1;
    Instant mFreeAt{};
  };
  using Pair = std::pair<ZoneName, ZoneName>;

  Link FindLink(const Pair& aPair) const;

  std::map<Pair, Link> mLinks;
  std::map<ServerName, Instant> mEgressFreeAt;
};

} // namespace heatherfork::bench
