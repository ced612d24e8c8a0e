#pragma once

#include "direction.h"
#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/peer_generated.h"

/// The fields of each value that a frame carries. A field that is added to a
/// value and not here fails the assertion; it also belongs in the schema.
namespace heatherfork::wire_map {

static_assert(detail::trace::CountFields<NodeId>() == 2);
template<class Direction, Of<NodeId> Core, Of<wire::NodeIdT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mName, aWire.name);
  aDirection(aCore.mIncarnation, aWire.incarnation);
}

static_assert(detail::trace::CountFields<AttemptId>() == 2);
template<class Direction, Of<AttemptId> Core, Of<wire::AttemptIdT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mIncarnation, aWire.incarnation);
  aDirection(aCore.mSequence, aWire.sequence);
}

static_assert(detail::trace::CountFields<Error>() == 2);
template<class Direction, Of<Error> Core, Of<wire::ErrorT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mCode, aWire.code);
  aDirection(aCore.mMessage, aWire.message);
}

static_assert(detail::trace::CountFields<Request>() == 16);
template<class Direction, Of<Request> Core, Of<wire::RequestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mWorkspace, aWire.tenant);
  aDirection(aCore.mKind, aWire.kind);
  aDirection(aCore.mModel, aWire.model);
  aDirection(aCore.mAdapter, aWire.adapter);
  aDirection(aCore.mService, aWire.service);
  aDirection(aCore.mCall, aWire.call);
  aDirection(aCore.mClass, aWire.class_name);
  aDirection(aCore.mKey, aWire.key);
  aDirection(aCore.mHome, aWire.home);
  aDirection(aCore.mKeyExpires, aWire.key_expires);
  aDirection(aCore.mDeadline, aWire.deadline);
  aDirection(aCore.mBody, aWire.body);
  aDirection(aCore.mPromptTokens, aWire.prompt_tokens);
  aDirection(aCore.mMaxTokens, aWire.max_tokens);
  aDirection(aCore.mStream, aWire.stream);
  aDirection(aCore.mFingerprint, aWire.fingerprint);
}

static_assert(detail::trace::CountFields<Answer>() == 4);
template<class Direction, Of<Answer> Core, Of<wire::AnswerT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mOk, aWire.ok);
  aDirection(aCore.mError, aWire.error);
  aDirection(aCore.mBody, aWire.body);
  aDirection(aCore.mTokens, aWire.tokens);
}

static_assert(detail::trace::CountFields<Member>() == 8);
template<class Direction, Of<Member> Core, Of<wire::MemberT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mNode, aWire.node);
  aDirection(aCore.mZone, aWire.zone);
  aDirection(aCore.mCallerAddress, aWire.caller_address);
  aDirection(aCore.mPeerAddress, aWire.peer_address);
  aDirection(aCore.mStatus, aWire.status);
  aDirection(aCore.mEpoch, aWire.epoch);
  aDirection(aCore.mGeneration, aWire.generation);
  aDirection(aCore.mVersion, aWire.version);
}

static_assert(detail::trace::CountFields<ForwardRequest>() == 2);
template<class Direction,
         Of<ForwardRequest> Core,
         Of<wire::ForwardRequestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mForward, aWire.forward);
  aDirection(aCore.mRequest, aWire.request);
}

static_assert(detail::trace::CountFields<ForwardAnswer>() == 2);
template<class Direction, Of<ForwardAnswer> Core, Of<wire::ForwardAnswerT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mForward, aWire.forward);
  aDirection(aCore.mAnswer, aWire.answer);
}

static_assert(detail::trace::CountFields<ShardId>() == 3);
template<class Direction, Of<ShardId> Core, Of<wire::ShardIdT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mPool, aWire.pool);
  aDirection(aCore.mZone, aWire.zone);
  aDirection(aCore.mIndex, aWire.index);
}

static_assert(detail::trace::CountFields<PlaceRequest>() == 17);
template<class Direction, Of<PlaceRequest> Core, Of<wire::PlaceRequestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mAttempt, aWire.attempt);
  aDirection(aCore.mKind, aWire.kind);
  aDirection(aCore.mModel, aWire.model);
  aDirection(aCore.mService, aWire.service);
  aDirection(aCore.mWorkspace, aWire.tenant);
  aDirection(aCore.mClass, aWire.class_name);
  aDirection(aCore.mPromptTokens, aWire.prompt_tokens);
  aDirection(aCore.mMaxTokens, aWire.max_tokens);
  aDirection(aCore.mPrefixes, aWire.prefixes);
  aDirection(aCore.mExcluded, aWire.excluded);
  aDirection(aCore.mMayWait, aWire.may_wait);
  aDirection(aCore.mIsolate, aWire.isolate);
  aDirection(aCore.mDeadline, aWire.deadline);
  aDirection(aCore.mShard, aWire.shard);
  aDirection(aCore.mTimeLeft, aWire.time_left);
  aDirection(aCore.mTarget, aWire.target);
  aDirection(aCore.mContent, aWire.content);
}

static_assert(detail::trace::CountFields<Placed>() == 5);
template<class Direction, Of<Placed> Core, Of<wire::PlacedT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mAttempt, aWire.attempt);
  aDirection(aCore.mPrefill, aWire.prefill);
  aDirection(aCore.mServer, aWire.server);
  aDirection(aCore.mShard, aWire.shard);
  aDirection(aCore.mDelay, aWire.delay);
}

static_assert(detail::trace::CountFields<PlacementRefused>() == 4);
template<class Direction,
         Of<PlacementRefused> Core,
         Of<wire::PlacementRefusedT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mAttempt, aWire.attempt);
  aDirection(aCore.mError, aWire.error);
  aDirection(aCore.mShard, aWire.shard);
  aDirection(aCore.mDelay, aWire.delay);
}

static_assert(detail::trace::CountFields<PlacementProgress>() == 4);
template<class Direction,
         Of<PlacementProgress> Core,
         Of<wire::PlacementProgressT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mAttempt, aWire.attempt);
  aDirection(aCore.mStep, aWire.step);
  aDirection(aCore.mTook, aWire.took);
  aDirection(aCore.mCachedTokens, aWire.cached_tokens);
}

static_assert(detail::trace::CountFields<PlacementEnded>() == 5);
template<class Direction,
         Of<PlacementEnded> Core,
         Of<wire::PlacementEndedT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mAttempt, aWire.attempt);
  aDirection(aCore.mResult, aWire.result);
  aDirection(aCore.mFailed, aWire.failed);
  aDirection(aCore.mTook, aWire.took);
  aDirection(aCore.mTokens, aWire.tokens);
}

static_assert(detail::trace::CountFields<Probe>() == 4);
template<class Direction, Of<Probe> Core, Of<wire::ProbeT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mNumber, aWire.number);
  aDirection(aCore.mRevision, aWire.revision);
  aDirection(aCore.mDigest, aWire.digest);
  aDirection(aCore.mGossip, aWire.gossip);
}

static_assert(detail::trace::CountFields<ProbeAck>() == 4);
template<class Direction, Of<ProbeAck> Core, Of<wire::ProbeAckT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mNumber, aWire.number);
  aDirection(aCore.mRevision, aWire.revision);
  aDirection(aCore.mDigest, aWire.digest);
  aDirection(aCore.mGossip, aWire.gossip);
}

static_assert(detail::trace::CountFields<ProbeRelay>() == 3);
template<class Direction, Of<ProbeRelay> Core, Of<wire::ProbeRelayT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mNumber, aWire.number);
  aDirection(aCore.mTarget, aWire.target);
  aDirection(aCore.mAddress, aWire.address);
}

static_assert(detail::trace::CountFields<ProbeRelayed>() == 2);
template<class Direction, Of<ProbeRelayed> Core, Of<wire::ProbeRelayedT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mNumber, aWire.number);
  aDirection(aCore.mTarget, aWire.target);
}

static_assert(detail::trace::CountFields<SyncRequest>() == 1);
template<class Direction, Of<SyncRequest> Core, Of<wire::SyncRequestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mBuckets, aWire.buckets);
}

static_assert(detail::trace::CountFields<SyncReply>() == 2);
template<class Direction, Of<SyncReply> Core, Of<wire::SyncReplyT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mWanted, aWire.wanted);
  aDirection(aCore.mMembers, aWire.members);
}

static_assert(detail::trace::CountFields<PartDigest>() == 2);
template<class Direction, Of<PartDigest> Core, Of<wire::PartDigestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mName, aWire.name);
  aDirection(aCore.mDigest, aWire.digest);
}

static_assert(detail::trace::CountFields<HeadRequest>() == 1);
template<class Direction, Of<HeadRequest> Core, Of<wire::HeadRequestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mHave, aWire.have);
}

static_assert(detail::trace::CountFields<HeadReply>() == 5);
template<class Direction, Of<HeadReply> Core, Of<wire::HeadReplyT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mRevision, aWire.revision);
  aDirection(aCore.mBase, aWire.base);
  aDirection(aCore.mDigest, aWire.digest);
  aDirection(aCore.mChanged, aWire.changed);
  aDirection(aCore.mRemoved, aWire.removed);
}

static_assert(detail::trace::CountFields<PartRequest>() == 1);
template<class Direction, Of<PartRequest> Core, Of<wire::PartRequestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mDigest, aWire.digest);
}

static_assert(detail::trace::CountFields<PlacementQueued>() == 1);
template<class Direction,
         Of<PlacementQueued> Core,
         Of<wire::PlacementQueuedT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mAttempt, aWire.attempt);
}

static_assert(detail::trace::CountFields<CrashReport>() == 3);
template<class Direction, Of<CrashReport> Core, Of<wire::CrashReportT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mFingerprint, aWire.fingerprint);
  aDirection(aCore.mDeaths, aWire.deaths);
  aDirection(aCore.mRemaining, aWire.remaining);
}

static_assert(detail::trace::CountFields<PartReply>() == 3);
template<class Direction, Of<PartReply> Core, Of<wire::PartReplyT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mDigest, aWire.digest);
  aDirection(aCore.mFound, aWire.found);
  aDirection(aCore.mBody, aWire.body);
}

static_assert(detail::trace::CountFields<PlacementKept>() == 2);
template<class Direction, Of<PlacementKept> Core, Of<wire::PlacementKeptT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mPlace, aWire.place);
  aDirection(aCore.mServer, aWire.server);
}

static_assert(detail::trace::CountFields<PlacementsKept>() == 1);
template<class Direction,
         Of<PlacementsKept> Core,
         Of<wire::PlacementsKeptT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mKept, aWire.kept);
}

static_assert(detail::trace::CountFields<PublishedItem>() == 4);
template<class Direction, Of<PublishedItem> Core, Of<wire::PublishedItemT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mKey, aWire.key);
  aDirection(aCore.mValue, aWire.value);
  aDirection(aCore.mRevision, aWire.revision);
  aDirection(aCore.mIsDeleted, aWire.is_deleted);
}

static_assert(detail::trace::CountFields<PublishedNews>() == 4);
template<class Direction, Of<PublishedNews> Core, Of<wire::PublishedNewsT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mPrefix, aWire.prefix);
  aDirection(aCore.mFrom, aWire.from);
  aDirection(aCore.mAt, aWire.at);
  aDirection(aCore.mItems, aWire.items);
}

static_assert(detail::trace::CountFields<PublishedRequest>() == 2);
template<class Direction,
         Of<PublishedRequest> Core,
         Of<wire::PublishedRequestT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mPrefix, aWire.prefix);
  aDirection(aCore.mHave, aWire.have);
}

static_assert(detail::trace::CountFields<PublishedReply>() == 3);
template<class Direction,
         Of<PublishedReply> Core,
         Of<wire::PublishedReplyT> Wire>
void
MapFields(Direction& aDirection, Core& aCore, Wire& aWire)
{
  aDirection(aCore.mPrefix, aWire.prefix);
  aDirection(aCore.mAt, aWire.at);
  aDirection(aCore.mItems, aWire.items);
}

} // namespace heatherfork::wire_map
