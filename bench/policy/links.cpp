#include "links.h"

#include <algorithm>

namespace heatherfork::bench {

void
Links::SetSlowness(const ZoneName& aFrom, const ZoneName& aTo, double aFactor)
{
  mLinks[{ aFrom, aTo }].mSlowness = aFactor;
}

Links::Link
Links::FindLink(const Pair& aPair) const
{
  const auto it = mLinks.find(aPair);
  return it == mLinks.end() ? Link{} : it->second;
}

TransferTimes
Links::EstimateTransfer(Instant aNow,
                        const ServerName& aServer,
                        const ZoneName& aFrom,
                        const ZoneName& aTo,
                        int aTokens) const
{
  const Link link = FindLink({ aFrom, aTo });
  const auto egress = mEgressFreeAt.find(aServer);
  const Instant egressFree =
    egress == mEgressFreeAt.end() ? aNow : egress->second;
  const Instant begin = std::max({ aNow, link.mFreeAt, egressFree });
  const double slowestPerToken =
    std::max(kEgressPerTokenMicros, kLinkPerTokenMicros * link.mSlowness);
  return { begin,
           begin + MicrosToDuration(kTransferOverheadMicros +
                                    slowestPerToken * aTokens) };
}

TransferTimes
Links::BookTransfer(Instant aNow,
                    const ServerName& aServer,
                    const ZoneName& aFrom,
                    const ZoneName& aTo,
                    int aTokens)
{
  const TransferTimes times =
    EstimateTransfer(aNow, aServer, aFrom, aTo, aTokens);
  Link& link = mLinks[{ aFrom, aTo }];
  link.mFreeAt = times.mStartsAt + MicrosToDuration(kLinkPerTokenMicros *
                                                    link.mSlowness * aTokens);
  mEgressFreeAt[aServer] = times.mEndsAt;
  return times;
}

} // namespace heatherfork::bench
