#include "heatherfork/detail/relay/content_guard.h"

#include <algorithm>
#include <set>
#include <utility>

#include <absl/strings/str_cat.h>

#include "heatherfork/detail/hash.h"
#include "heatherfork/detail/relay/log_value.h"
#include "heatherfork/detail/relay/relay_peers.h"
#include "heatherfork/detail/scheduling/rendezvous.h"

namespace heatherfork::detail {

namespace {

// New nodes accept requests soon after their start, and each message may be
// lost.
constexpr Duration kShareInterval = Milliseconds(500);
constexpr int kSharePeers = 2;

// Bounds a report, and the work for it at the receivers.
constexpr std::size_t kMaxReportedRequests = 128;

// The entry of a replica that crashed expires after some heartbeats.
constexpr Duration kEvidenceTime = Milliseconds(10000);

// Number of nodes that report earlier crashes to a new node. They must not be
// new themselves.
constexpr int kTellingNodes = 2;
constexpr Duration kNewNodeTime = Milliseconds(10000);

// The last part belongs to the request or its session, so the fingerprint
// stands for it.
std::vector<ContentId>
SharedParts(const RelayRequest& aRequest)
{
  std::vector<ContentId> parts;
  for (std::size_t n = 0; n + 1 < aRequest.mParts.size(); ++n) {
    parts.push_back(aRequest.mParts[n].mId);
  }
  return parts;
}

Contents
ContentsOf(const RelayRequest& aRequest)
{
  Contents contents = SharedParts(aRequest);
  contents.push_back(aRequest.mFingerprint);
  std::sort(contents.begin(), contents.end());
  return contents;
}

std::uint64_t
CrashIdOf(const Replica& aReplica)
{
  return Hash(aReplica.mName.mValue,
              static_cast<std::uint64_t>(aReplica.mStartedAt));
}

std::string
TextOf(const Contents& aContents)
{
  std::string text;
  for (const ContentId content : aContents) {
    absl::StrAppend(&text, text.empty() ? "" : "+", absl::Hex(content));
  }
  return text;
}

} // namespace

// Evidence of other nodes is applied when it is needed first, or by the timer:
// thousands of reports may follow each other when many replicas fall together.
bool
ContentGuard::Update(RelayContext& aContext)
{
  if (!mContent.IsStale()) {
    return false;
  }
  const bool isNewlyRefused = mContent.Update();
  mIsNewlyRefused = mIsNewlyRefused || isNewlyRefused;
  const auto log = [&](const auto& aFrom, const auto& aTo, const char* aEvent) {
    for (const CrashingContent::Refusal& refusal : aFrom) {
      if (std::none_of(aTo.begin(), aTo.end(), [&](const auto& aOther) {
            return aOther.mContents == refusal.mContents;
          })) {
        aContext.Emit(RelayLogEntry{
          aEvent,
          "",
          "content=" + TextOf(refusal.mContents) +
            " crashes=" + std::to_string(mContent.Known().size()) });
      }
    }
  };
  log(mLoggedRefusals, mContent.Refusals(), "content-accepted");
  log(mContent.Refusals(), mLoggedRefusals, "content-refused");
  mLoggedRefusals = mContent.Refusals();
  return isNewlyRefused;
}

std::optional<Duration>
ContentGuard::RefusedFor(RelayContext& aContext, const RelayRequest& aRequest)
{
  Update(aContext);
  return mContent.RefusedFor(aContext.Now(), ContentsOf(aRequest));
}

std::optional<ContentId>
ContentGuard::SuspectIn(RelayContext& aContext, const RelayRequest& aRequest)
{
  Update(aContext);
  if (const auto rivalry = mContent.RivalryOf(ContentsOf(aRequest))) {
    return rivalry;
  }
  const ContentId content = aRequest.mFingerprint;
  const bool isSuspect =
    mContent.IsSuspect(content) ||
    std::any_of(mLost.begin(), mLost.end(), [&](const auto& aItem) {
      const LostCalls& lost = aItem.second;
      return !lost.mIsAccepting && lost.mRequests.contains(content);
    });
  return isSuspect ? std::optional(content) : std::nullopt;
}

ContentGuard::LostCalls&
ContentGuard::RecordLost(RelayContext& aContext,
                         const RelayRequest& aRequest,
                         const Replica& aReplica,
                         bool aRanAlone)
{
  const auto [it, isFirst] = mLost.try_emplace(aReplica.mName);
  LostCalls& lost = it->second;
  if (!isFirst && lost.mReplica.mStartedAt != aReplica.mStartedAt) {
    OnCrashed(aContext, std::exchange(lost, LostCalls{}));
  }
  if (lost.mRequests.size() < kMaxReportedRequests) {
    CrashedRequest& request = lost.mRequests[aRequest.mFingerprint];
    request.mFingerprint = aRequest.mFingerprint;
    request.mParts = SharedParts(aRequest);
    request.mRanAlone = request.mRanAlone || aRanAlone;
  }
  ++lost.mCount;
  lost.mReplica = aReplica;
  lost.mLostAt = aContext.Now();
  return lost;
}

void
ContentGuard::OnConnectionLost(RelayContext& aContext,
                               const RelayRequest& aRequest,
                               const Replica& aReplica,
                               bool aRanAlone)
{
  LostCalls& lost = RecordLost(aContext, aRequest, aReplica, aRanAlone);
  if (lost.mIsAccepting) {
    lost.mIsAccepting = false;
    aContext.Emit(CheckServer{ aReplica.mName, aReplica.mAddress });
  }
}

void
ContentGuard::OnCallGivenUp(RelayContext& aContext,
                            const RelayRequest& aRequest,
                            const Replica& aReplica,
                            bool aRanAlone)
{
  RecordLost(aContext, aRequest, aReplica, aRanAlone);
}

bool
ContentGuard::OnSound(ContentId aContent, bool aIsWholeRequest)
{
  for (auto& [server, lost] : mLost) {
    lost.mRequests.erase(aContent);
    for (auto& [fingerprint, request] : lost.mRequests) {
      std::erase(request.mParts, aContent);
    }
  }
  return mContent.OnSound(aContent, aIsWholeRequest);
}

void
ContentGuard::OnAnswered(RelayContext& aContext, const RelayRequest& aRequest)
{
  ContentReport report;
  for (const ContentId part : SharedParts(aRequest)) {
    if (OnSound(part, false)) {
      report.mSound.push_back(part);
    }
  }
  if (OnSound(aRequest.mFingerprint, true)) {
    report.mSound.push_back(aRequest.mFingerprint);
  }
  if (!report.mSound.empty()) {
    SendToOthers(aContext, report);
  }
}

// A replica that accepts a connection may have restarted before the check.
void
ContentGuard::On(RelayContext& aContext, const ServerChecked& aEvent)
{
  const auto it = mLost.find(aEvent.mServer);
  if (it == mLost.end()) {
    return;
  }
  if (!aEvent.mIsDown) {
    it->second.mIsAccepting = true;
    aContext.Emit(
      RelayLogEntry{ "replica-accepts",
                     "",
                     "server=" + LogValue(aEvent.mServer.mValue) +
                       " calls=" + std::to_string(it->second.mCount) });
    return;
  }
  const LostCalls lost = std::move(it->second);
  mLost.erase(it);
  OnCrashed(aContext, lost);
}

void
ContentGuard::OnReplicas(RelayContext& aContext, const Replicas& aReplicas)
{
  std::vector<LostCalls> crashed;
  std::erase_if(mLost, [&](auto& aItem) {
    const Replica* replica = FindReplica(aReplicas, aItem.first);
    if (replica != nullptr &&
        replica->mStartedAt == aItem.second.mReplica.mStartedAt) {
      return replica->mLeaving;
    }
    crashed.push_back(std::move(aItem.second));
    return true;
  });
  for (const LostCalls& lost : crashed) {
    OnCrashed(aContext, lost);
  }
}

void
ContentGuard::OnReplaced(RelayContext& aContext, const ServerName& aServer)
{
  auto lost = mLost.extract(aServer);
  if (!lost.empty()) {
    OnCrashed(aContext, lost.mapped());
  }
}

// Another node reports a crash. Calls of this node may have run there.
void
ContentGuard::OnCrashReported(RelayContext& aContext, std::uint64_t aCrash)
{
  const auto it =
    std::find_if(mLost.begin(), mLost.end(), [aCrash](const auto& aItem) {
      return CrashIdOf(aItem.second.mReplica) == aCrash;
    });
  if (it != mLost.end()) {
    const LostCalls lost = std::move(it->second);
    mLost.erase(it);
    OnCrashed(aContext, lost);
  }
}

void
ContentGuard::OnCrashed(RelayContext& aContext, const LostCalls& aLost)
{
  CrashRecord record;
  record.mCrash = CrashIdOf(aLost.mReplica);
  std::set<ContentId> suspects;
  int alone = 0;
  for (const auto& [fingerprint, request] : aLost.mRequests) {
    record.mRequests.push_back(request);
    suspects.insert(fingerprint);
    suspects.insert(request.mParts.begin(), request.mParts.end());
    alone += request.mRanAlone ? 1 : 0;
  }
  aContext.Emit(RelayLogEntry{
    "replica-crashed",
    "",
    "server=" + LogValue(aLost.mReplica.mName.mValue) +
      " calls=" + std::to_string(aLost.mCount) + " suspects=" +
      std::to_string(suspects.size()) + " alone=" + std::to_string(alone) });
  if (record.mRequests.empty()) {
    return;
  }
  mContent.OnCrash(aContext.Now(), record);
  ContentReport report;
  if (Update(aContext)) {
    // Other nodes may have missed an earlier crash.
    report.mCrashes = mContent.Records(aContext.Now());
  } else {
    report.mCrashes = { std::move(record) };
  }
  SendToOthers(aContext, report);
}

void
ContentGuard::OnJoined(RelayContext& aContext,
                       const std::vector<NodeId>& aNodes)
{
  for (const NodeId& node : aNodes) {
    mJoinedAt[node] = aContext.Now();
  }
  const ContentReport report{ mContent.Records(aContext.Now()), {}, false, {} };
  if (report.mCrashes.empty()) {
    return;
  }
  const NodeId& self = aContext.mShared.mSettings.mSelf;
  for (const NodeId& node : aNodes) {
    const auto weightOf = [&](const NodeId& aTelling) {
      return RendezvousWeight(node.mName.mValue, aTelling.mName.mValue);
    };
    const auto isPreferred = [&](const Member& aMember) {
      return aMember.mStatus == MemberStatus::kAlive && aMember.mNode != self &&
             !mJoinedAt.contains(aMember.mNode) &&
             weightOf(aMember.mNode) > weightOf(self);
    };
    const Members& members = aContext.mShared.mMembers;
    if (std::count_if(members.begin(), members.end(), isPreferred) <
        kTellingNodes) {
      aContext.mShared.Send(node, report);
    }
  }
}

void
ContentGuard::On(RelayContext& aContext,
                 const NodeId& aFrom,
                 const ContentReport& aReport)
{
  for (const CrashRecord& record : aReport.mCrashes) {
    mContent.OnCrash(aContext.Now(), record);
    OnCrashReported(aContext, record.mCrash);
  }
  for (const ContentId content : aReport.mSound) {
    OnSound(content, false);
  }
  if (!aReport.mIsList) {
    return;
  }
  ContentReport missing;
  missing.mCrashes = mContent.RecordsBeside(aContext.Now(), aReport.mKnown);
  if (!missing.mCrashes.empty()) {
    aContext.mShared.Send(aFrom, std::move(missing));
  }
  if (mContent.LacksAny(aReport.mKnown)) {
    SendList(aContext, aFrom);
  }
}

void
ContentGuard::SendList(RelayContext& aContext, const NodeId& aNode) const
{
  aContext.mShared.Send(aNode, ContentReport{ {}, {}, true, mContent.Known() });
}

// Sent to random peers, so that nodes that start or missed a message receive
// the records without a request.
void
ContentGuard::OnTimer(RelayContext& aContext)
{
  Update(aContext);
  if (aContext.Now() - mSharedAt < kShareInterval) {
    return;
  }
  if (mStartedAt == Instant{}) {
    mStartedAt = aContext.Now();
  }
  mSharedAt = aContext.Now();
  mContent.DropExpired(aContext.Now());
  std::erase_if(mLost, [&](const auto& aItem) {
    return aContext.Now() - aItem.second.mLostAt > kEvidenceTime;
  });
  std::erase_if(mJoinedAt, [&](const auto& aItem) {
    return aContext.Now() - aItem.second > kNewNodeTime;
  });
  const bool isNew = aContext.Now() - mStartedAt < kNewNodeTime;
  if (!isNew && mContent.Known().empty()) {
    return;
  }
  for (const NodeId& peer : ChooseRandomPeers(aContext, kSharePeers)) {
    SendList(aContext, peer);
  }
}

} // namespace heatherfork::detail
