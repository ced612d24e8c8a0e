#pragma once

#include "converters.h"
#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/peer_generated.h"

/// Field mappings of the types in a frame; those of relaying nodes alone are in
/// relay_fields.h. The assertions fail if a type gets a
/// field that is not mapped here. Add new fields to the schema as well.
namespace heatherfork::wire_map {

static_assert(detail::trace::CountFields<NodeId>() == 2);
template<class Converter,
         MaybeConst<NodeId> Core,
         MaybeConst<wire::NodeIdT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mName, aWire.name);
  aConverter(aCore.mIncarnation, aWire.incarnation);
}

static_assert(detail::trace::CountFields<AttemptId>() == 2);
template<class Converter,
         MaybeConst<AttemptId> Core,
         MaybeConst<wire::AttemptIdT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mIncarnation, aWire.incarnation);
  aConverter(aCore.mSequence, aWire.sequence);
}

static_assert(detail::trace::CountFields<Error>() == 2);
template<class Converter, MaybeConst<Error> Core, MaybeConst<wire::ErrorT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mCode, aWire.code);
  aConverter(aCore.mMessage, aWire.message);
}

static_assert(detail::trace::CountFields<Request>() == 16);
template<class Converter,
         MaybeConst<Request> Core,
         MaybeConst<wire::RequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mWorkspace, aWire.tenant);
  aConverter(aCore.mKind, aWire.kind);
  aConverter(aCore.mModel, aWire.model);
  aConverter(aCore.mAdapter, aWire.adapter);
  aConverter(aCore.mService, aWire.service);
  aConverter(aCore.mCall, aWire.call);
  aConverter(aCore.mClass, aWire.class_name);
  aConverter(aCore.mKey, aWire.key);
  aConverter(aCore.mHome, aWire.home);
  aConverter(aCore.mKeyExpires, aWire.key_expires);
  aConverter(aCore.mDeadline, aWire.deadline);
  aConverter(aCore.mBody, aWire.body);
  aConverter(aCore.mPromptTokens, aWire.prompt_tokens);
  aConverter(aCore.mMaxTokens, aWire.max_tokens);
  aConverter(aCore.mStream, aWire.stream);
  aConverter(aCore.mFingerprint, aWire.fingerprint);
}

static_assert(detail::trace::CountFields<Answer>() == 4);
template<class Converter,
         MaybeConst<Answer> Core,
         MaybeConst<wire::AnswerT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mOk, aWire.ok);
  aConverter(aCore.mError, aWire.error);
  aConverter(aCore.mBody, aWire.body);
  aConverter(aCore.mTokens, aWire.tokens);
}

static_assert(detail::trace::CountFields<Member>() == 9);
template<class Converter,
         MaybeConst<Member> Core,
         MaybeConst<wire::MemberT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNode, aWire.node);
  aConverter(aCore.mZone, aWire.zone);
  aConverter(aCore.mCallerAddress, aWire.caller_address);
  aConverter(aCore.mPeerAddress, aWire.peer_address);
  aConverter(aCore.mStatus, aWire.status);
  aConverter(aCore.mEpoch, aWire.epoch);
  aConverter(aCore.mGeneration, aWire.generation);
  aConverter(aCore.mVersion, aWire.version);
  aConverter(aCore.mProcessorShare, aWire.processor_share);
}

static_assert(detail::trace::CountFields<ForwardRequest>() == 2);
template<class Converter,
         MaybeConst<ForwardRequest> Core,
         MaybeConst<wire::ForwardRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mForward, aWire.forward);
  aConverter(aCore.mRequest, aWire.request);
}

static_assert(detail::trace::CountFields<ForwardAnswer>() == 2);
template<class Converter,
         MaybeConst<ForwardAnswer> Core,
         MaybeConst<wire::ForwardAnswerT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mForward, aWire.forward);
  aConverter(aCore.mAnswer, aWire.answer);
}

static_assert(detail::trace::CountFields<ShardId>() == 3);
template<class Converter,
         MaybeConst<ShardId> Core,
         MaybeConst<wire::ShardIdT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mPool, aWire.pool);
  aConverter(aCore.mZone, aWire.zone);
  aConverter(aCore.mIndex, aWire.index);
}

static_assert(detail::trace::CountFields<PlaceRequest>() == 18);
template<class Converter,
         MaybeConst<PlaceRequest> Core,
         MaybeConst<wire::PlaceRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mAttempt, aWire.attempt);
  aConverter(aCore.mKind, aWire.kind);
  aConverter(aCore.mModel, aWire.model);
  aConverter(aCore.mService, aWire.service);
  aConverter(aCore.mWorkspace, aWire.tenant);
  aConverter(aCore.mClass, aWire.class_name);
  aConverter(aCore.mPromptTokens, aWire.prompt_tokens);
  aConverter(aCore.mMaxTokens, aWire.max_tokens);
  aConverter(aCore.mPrefixes, aWire.prefixes);
  aConverter(aCore.mExcluded, aWire.excluded);
  aConverter(aCore.mMayWait, aWire.may_wait);
  aConverter(aCore.mIsolate, aWire.isolate);
  aConverter(aCore.mDeadline, aWire.deadline);
  aConverter(aCore.mShard, aWire.shard);
  aConverter(aCore.mTimeLeft, aWire.time_left);
  aConverter(aCore.mTarget, aWire.target);
  aConverter(aCore.mContentFingerprint, aWire.content);
  aConverter(aCore.mIsSuspect, aWire.suspect);
}

static_assert(detail::trace::CountFields<Placed>() == 6);
template<class Converter,
         MaybeConst<Placed> Core,
         MaybeConst<wire::PlacedT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mAttempt, aWire.attempt);
  aConverter(aCore.mPrefill, aWire.prefill);
  aConverter(aCore.mServer, aWire.server);
  aConverter(aCore.mShard, aWire.shard);
  aConverter(aCore.mDelay, aWire.delay);
  aConverter(aCore.mIsLimited, aWire.limited);
}

static_assert(detail::trace::CountFields<PlacementRefused>() == 4);
template<class Converter,
         MaybeConst<PlacementRefused> Core,
         MaybeConst<wire::PlacementRefusedT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mAttempt, aWire.attempt);
  aConverter(aCore.mError, aWire.error);
  aConverter(aCore.mShard, aWire.shard);
  aConverter(aCore.mDelay, aWire.delay);
}

static_assert(detail::trace::CountFields<PlacementProgress>() == 4);
template<class Converter,
         MaybeConst<PlacementProgress> Core,
         MaybeConst<wire::PlacementProgressT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mAttempt, aWire.attempt);
  aConverter(aCore.mStep, aWire.step);
  aConverter(aCore.mElapsed, aWire.took);
  aConverter(aCore.mCachedTokens, aWire.cached_tokens);
}

static_assert(detail::trace::CountFields<PlacementEnded>() == 5);
template<class Converter,
         MaybeConst<PlacementEnded> Core,
         MaybeConst<wire::PlacementEndedT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mAttempt, aWire.attempt);
  aConverter(aCore.mResult, aWire.result);
  aConverter(aCore.mFailed, aWire.failed);
  aConverter(aCore.mElapsed, aWire.took);
  aConverter(aCore.mTokens, aWire.tokens);
}

static_assert(detail::trace::CountFields<Probe>() == 4);
template<class Converter, MaybeConst<Probe> Core, MaybeConst<wire::ProbeT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
  aConverter(aCore.mRevision, aWire.revision);
  aConverter(aCore.mDigest, aWire.digest);
  aConverter(aCore.mGossip, aWire.gossip);
}

static_assert(detail::trace::CountFields<ProbeAck>() == 4);
template<class Converter,
         MaybeConst<ProbeAck> Core,
         MaybeConst<wire::ProbeAckT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
  aConverter(aCore.mRevision, aWire.revision);
  aConverter(aCore.mDigest, aWire.digest);
  aConverter(aCore.mGossip, aWire.gossip);
}

static_assert(detail::trace::CountFields<ProbeRelay>() == 3);
template<class Converter,
         MaybeConst<ProbeRelay> Core,
         MaybeConst<wire::ProbeRelayT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
  aConverter(aCore.mTarget, aWire.target);
  aConverter(aCore.mAddress, aWire.address);
}

static_assert(detail::trace::CountFields<ProbeRelayed>() == 2);
template<class Converter,
         MaybeConst<ProbeRelayed> Core,
         MaybeConst<wire::ProbeRelayedT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
  aConverter(aCore.mTarget, aWire.target);
}

static_assert(detail::trace::CountFields<SyncRequest>() == 1);
template<class Converter,
         MaybeConst<SyncRequest> Core,
         MaybeConst<wire::SyncRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mBuckets, aWire.buckets);
}

static_assert(detail::trace::CountFields<SyncReply>() == 2);
template<class Converter,
         MaybeConst<SyncReply> Core,
         MaybeConst<wire::SyncReplyT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mWanted, aWire.wanted);
  aConverter(aCore.mMembers, aWire.members);
}

static_assert(detail::trace::CountFields<PartDigest>() == 2);
template<class Converter,
         MaybeConst<PartDigest> Core,
         MaybeConst<wire::PartDigestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mName, aWire.name);
  aConverter(aCore.mDigest, aWire.digest);
}

static_assert(detail::trace::CountFields<HeadRequest>() == 1);
template<class Converter,
         MaybeConst<HeadRequest> Core,
         MaybeConst<wire::HeadRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mKnownRevision, aWire.have);
}

static_assert(detail::trace::CountFields<HeadReply>() == 5);
template<class Converter,
         MaybeConst<HeadReply> Core,
         MaybeConst<wire::HeadReplyT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mRevision, aWire.revision);
  aConverter(aCore.mBase, aWire.base);
  aConverter(aCore.mDigest, aWire.digest);
  aConverter(aCore.mChanged, aWire.changed);
  aConverter(aCore.mRemoved, aWire.removed);
}

static_assert(detail::trace::CountFields<PartRequest>() == 1);
template<class Converter,
         MaybeConst<PartRequest> Core,
         MaybeConst<wire::PartRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mDigest, aWire.digest);
}

static_assert(detail::trace::CountFields<PlacementQueued>() == 1);
template<class Converter,
         MaybeConst<PlacementQueued> Core,
         MaybeConst<wire::PlacementQueuedT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mAttempt, aWire.attempt);
}

static_assert(detail::trace::CountFields<CrashReport>() == 3);
template<class Converter,
         MaybeConst<CrashReport> Core,
         MaybeConst<wire::CrashReportT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mFingerprint, aWire.fingerprint);
  aConverter(aCore.mCrashCount, aWire.deaths);
  aConverter(aCore.mRemaining, aWire.remaining);
}

static_assert(detail::trace::CountFields<PartReply>() == 3);
template<class Converter,
         MaybeConst<PartReply> Core,
         MaybeConst<wire::PartReplyT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mDigest, aWire.digest);
  aConverter(aCore.mFound, aWire.found);
  aConverter(aCore.mBody, aWire.body);
}

static_assert(detail::trace::CountFields<PlacementKept>() == 2);
template<class Converter,
         MaybeConst<PlacementKept> Core,
         MaybeConst<wire::PlacementKeptT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mPlace, aWire.place);
  aConverter(aCore.mServer, aWire.server);
}

static_assert(detail::trace::CountFields<PlacementsKept>() == 1);
template<class Converter,
         MaybeConst<PlacementsKept> Core,
         MaybeConst<wire::PlacementsKeptT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mKept, aWire.kept);
}

} // namespace heatherfork::wire_map
