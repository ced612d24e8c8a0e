#pragma once

#include "converters.h"
#include "heatherfork/detail/trace/fields.h"
#include "heatherfork/peer_generated.h"

/// Field mappings of the messages between relaying nodes.
namespace heatherfork::wire_map {

static_assert(detail::trace::CountFields<PublishedItem>() == 4);
template<class Converter,
         MaybeConst<PublishedItem> Core,
         MaybeConst<wire::PublishedItemT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mKey, aWire.key);
  aConverter(aCore.mValue, aWire.value);
  aConverter(aCore.mRevision, aWire.revision);
  aConverter(aCore.mIsDeleted, aWire.is_deleted);
}

static_assert(detail::trace::CountFields<CrashedRequest>() == 3);
template<class Converter,
         MaybeConst<CrashedRequest> Core,
         MaybeConst<wire::CrashedRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mFingerprint, aWire.fingerprint);
  aConverter(aCore.mParts, aWire.parts);
  aConverter(aCore.mRanAlone, aWire.ran_alone);
}

static_assert(detail::trace::CountFields<CrashRecord>() == 4);
template<class Converter,
         MaybeConst<CrashRecord> Core,
         MaybeConst<wire::CrashRecordT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mCrash, aWire.crash);
  aConverter(aCore.mAge, aWire.age);
  aConverter(aCore.mRequests, aWire.requests);
  aConverter(aCore.mSound, aWire.sound);
}

static_assert(detail::trace::CountFields<KnownCrash>() == 2);
template<class Converter,
         MaybeConst<KnownCrash> Core,
         MaybeConst<wire::KnownCrashT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mCrash, aWire.crash);
  aConverter(aCore.mDigest, aWire.digest);
}

static_assert(detail::trace::CountFields<ContentReport>() == 4);
template<class Converter,
         MaybeConst<ContentReport> Core,
         MaybeConst<wire::ContentReportT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mCrashes, aWire.crashes);
  aConverter(aCore.mSound, aWire.sound);
  aConverter(aCore.mIsList, aWire.is_list);
  aConverter(aCore.mKnown, aWire.known);
}

static_assert(detail::trace::CountFields<ServerLimit>() == 5);
template<class Converter,
         MaybeConst<ServerLimit> Core,
         MaybeConst<wire::ServerLimitT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mServer, aWire.server);
  aConverter(aCore.mStartedAt, aWire.started_at);
  aConverter(aCore.mIsNamed, aWire.is_named);
  aConverter(aCore.mRate.mPer1000Seconds, aWire.rate);
  aConverter(aCore.mAge, aWire.age);
}

static_assert(detail::trace::CountFields<LimitReport>() == 1);
template<class Converter,
         MaybeConst<LimitReport> Core,
         MaybeConst<wire::LimitReportT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mLimits, aWire.limits);
}

static_assert(detail::trace::CountFields<LeavingServer>() == 2);
template<class Converter,
         MaybeConst<LeavingServer> Core,
         MaybeConst<wire::LeavingServerT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mServer, aWire.server);
  aConverter(aCore.mStartedAt, aWire.started_at);
}

static_assert(detail::trace::CountFields<LeavingReport>() == 1);
template<class Converter,
         MaybeConst<LeavingReport> Core,
         MaybeConst<wire::LeavingReportT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mServers, aWire.servers);
}

static_assert(detail::trace::CountFields<PublishedNews>() == 5);
template<class Converter,
         MaybeConst<PublishedNews> Core,
         MaybeConst<wire::PublishedNewsT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mPrefix, aWire.prefix);
  aConverter(aCore.mFrom, aWire.from);
  aConverter(aCore.mAt, aWire.at);
  aConverter(aCore.mItems, aWire.items);
  aConverter(aCore.mEra, aWire.era);
}

static_assert(detail::trace::CountFields<PublishedRequest>() == 3);
template<class Converter,
         MaybeConst<PublishedRequest> Core,
         MaybeConst<wire::PublishedRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mPrefix, aWire.prefix);
  aConverter(aCore.mKnownRevision, aWire.have);
  aConverter(aCore.mKnownEra, aWire.era);
}

static_assert(detail::trace::CountFields<PublishedReply>() == 4);
template<class Converter,
         MaybeConst<PublishedReply> Core,
         MaybeConst<wire::PublishedReplyT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mPrefix, aWire.prefix);
  aConverter(aCore.mAt, aWire.at);
  aConverter(aCore.mItems, aWire.items);
  aConverter(aCore.mEra, aWire.era);
}

static_assert(detail::trace::CountFields<KeyProofRequest>() == 1);
template<class Converter,
         MaybeConst<KeyProofRequest> Core,
         MaybeConst<wire::KeyProofRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
}

static_assert(detail::trace::CountFields<KeyProofReply>() == 3);
template<class Converter,
         MaybeConst<KeyProofReply> Core,
         MaybeConst<wire::KeyProofReplyT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
  aConverter(aCore.mRevision, aWire.revision);
  aConverter(aCore.mAge, aWire.age);
}

static_assert(detail::trace::CountFields<QuotaNeed>() == 5);
template<class Converter,
         MaybeConst<QuotaNeed> Core,
         MaybeConst<wire::QuotaNeedT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mWorkspace, aWire.workspace);
  aConverter(aCore.mWanted, aWire.wanted);
  aConverter(aCore.mSmallest, aWire.smallest);
  aConverter(aCore.mAhead, aWire.ahead);
  aConverter(aCore.mReturned, aWire.returned);
}

static_assert(detail::trace::CountFields<QuotaRequest>() == 2);
template<class Converter,
         MaybeConst<QuotaRequest> Core,
         MaybeConst<wire::QuotaRequestT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
  aConverter(aCore.mNeeds, aWire.needs);
}

static_assert(detail::trace::CountFields<QuotaCredit>() == 5);
template<class Converter,
         MaybeConst<QuotaCredit> Core,
         MaybeConst<wire::QuotaCreditT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mWorkspace, aWire.workspace);
  aConverter(aCore.mUnits, aWire.units);
  aConverter(aCore.mLifetime, aWire.lifetime);
  aConverter(aCore.mWait, aWire.wait);
  aConverter(aCore.mBacklog, aWire.backlog);
}

static_assert(detail::trace::CountFields<QuotaGrant>() == 2);
template<class Converter,
         MaybeConst<QuotaGrant> Core,
         MaybeConst<wire::QuotaGrantT> Wire>
void
MapFields(Converter& aConverter, Core& aCore, Wire& aWire)
{
  aConverter(aCore.mNumber, aWire.number);
  aConverter(aCore.mCredits, aWire.credits);
}

} // namespace heatherfork::wire_map
