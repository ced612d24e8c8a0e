#include <algorithm>
#include <utility>

#include "heatherfork/detail/configuration/configuration_distributor.h"

/// Exchange of heads and parts with peers.
namespace heatherfork::detail {

// Refused revisions are also distributed: each node validates them itself, and
// operators see the mistakes at every node.
void
ConfigurationDistributor::SendHeadToNeighbours(Context& aContext,
                                               const ConfigurationHead& aHead,
                                               Revision aBase)
{
  for (const NodeId& neighbour : mNeighbours) {
    SendHead(aContext, neighbour, aHead, aBase);
  }
}

void
ConfigurationDistributor::SendHead(Context& aContext,
                                   const NodeId& aTo,
                                   const ConfigurationHead& aHead,
                                   Revision aBase)
{
  aContext.Send(aTo, mHeads.Difference(aHead, aBase));
}

void
ConfigurationDistributor::On(Context& aContext,
                             const NodeId& aFrom,
                             const HeadRequest& aMessage)
{
  if (mCurrentHead) {
    SendHead(aContext, aFrom, *mCurrentHead, aMessage.mKnownRevision);
  } else {
    aContext.Send(aFrom, HeadReply{});
  }
  if (mRefusedHead) {
    SendHead(aContext, aFrom, *mRefusedHead, aMessage.mKnownRevision);
  }
}

void
ConfigurationDistributor::On(Context& aContext,
                             const NodeId& aFrom,
                             const HeadReply& aMessage)
{
  if (aMessage.mRevision > LatestCheckedRevision()) {
    const auto head = mHeads.Apply(aMessage);
    if (head) {
      HandleNewHead(aContext, *head, aFrom);
    } else if (aMessage.mBase != 0) {
      aContext.Send(aFrom, HeadRequest{});
    }
  }
  mAwaitingReply.erase(aFrom);
  if (!mAskedPeers.empty() && mAwaitingReply.empty() && !mPending) {
    mMayReadService = true;
  }
}

void
ConfigurationDistributor::On(Context& aContext,
                             const NodeId& aFrom,
                             const PartRequest& aMessage)
{
  const auto it = mParts.find(aMessage.mDigest);
  PartReply reply{ aMessage.mDigest, it != mParts.end() };
  if (reply.mFound) {
    reply.mBody = it->second;
  }
  aContext.Send(aFrom, std::move(reply));
}

void
ConfigurationDistributor::On(Context& aContext,
                             const NodeId& aFrom,
                             const PartReply& aMessage)
{
  if (aMessage.mFound) {
    StorePart(aContext, aMessage.mDigest, aMessage.mBody);
    return;
  }
  DropSource(aFrom);
}

void
ConfigurationDistributor::DropSource(const NodeId& aSource)
{
  if (mPending) {
    std::erase(mPending->mSources, aSource);
  }
}

void
ConfigurationDistributor::OnRevision(Context& aContext,
                                     const NodeId& aFrom,
                                     Revision aRevision)
{
  const bool isKnown = aRevision <= LatestCheckedRevision() ||
                       (mPending && aRevision <= mPending->mHead.mRevision);
  if (isKnown || aContext.mNow < mNextHeadRequestAt) {
    return;
  }
  mNextHeadRequestAt = aContext.mNow + mConfigurationSettings.mPartTimeout;
  aContext.Send(aFrom, HeadRequest{ CurrentRevision() });
}

} // namespace heatherfork::detail
