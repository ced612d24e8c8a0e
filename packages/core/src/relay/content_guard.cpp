#include "heatherfork/detail/relay/content_guard.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "heatherfork/detail/hash.h"
#include "heatherfork/detail/relay/relay_peers.h"
#include "heatherfork/detail/scheduling/rendezvous.h"

namespace heatherfork::detail {

namespace {

// New nodes accept requests soon after their start, and each message may be
// lost.
constexpr Duration kShareInterval = Milliseconds(500);
constexpr int kSharePeers = 2;

// Bounds a report, and the work for it at the receivers.
constexpr std::size_t kMaxReportedContents = 512;

// The entry of a replica that crashed expires after some heartbeats.
constexpr Duration kEvidenceTime = Milliseconds(10000);

constexpr std::size_t kMaxKnownCrashes = 16;
constexpr Duration kKnownCrashLifetime = Milliseconds(60000);

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

std::vector<ContentId>
ContentsOf(const RelayRequest& aRequest)
{
  std::vector<ContentId> contents = SharedParts(aRequest);
  contents.push_back(aRequest.mFingerprint);
  return contents;
}

std::uint64_t
CrashIdOf(const Replica& aReplica)
{
  return Hash(aReplica.mName.mValue,
              static_cast<std::uint64_t>(aReplica.mStartedAt));
}

void
LogContents(RelayContext& aContext,
            const char* aEvent,
            const std::vector<ContentId>& aContents,
            const std::string& aText)
{
  for (const ContentId content : aContents) {
    aContext.Emit(RelayLogEntry{
      aEvent, "", absl::StrCat("content=", absl::Hex(content), aText) });
  }
}

} // namespace

std::optional<Duration>
ContentGuard::RefusedFor(const RelayContext& aContext,
                         const RelayRequest& aRequest) const
{
  std::optional<Duration> longest;
  for (const ContentId content : ContentsOf(aRequest)) {
    longest = std::max(longest, mContent.RefusedFor(aContext.Now(), content));
  }
  return longest;
}

bool
ContentGuard::IsSuspect(const RelayRequest& aRequest) const
{
  const ContentId content = aRequest.mFingerprint;
  return mContent.IsSuspect(content) ||
         std::any_of(mLost.begin(), mLost.end(), [&](const auto& aItem) {
           const LostCalls& lost = aItem.second;
           return !lost.mIsAccepting && lost.mRequests.contains(content);
         });
}

// A request with refused content explains the crash: it is no evidence against
// the other content.
void
ContentGuard::OnConnectionLost(RelayContext& aContext,
                               const RelayRequest& aRequest,
                               const Replica& aReplica,
                               bool aRanAlone)
{
  if (RefusedFor(aContext, aRequest)) {
    return;
  }
  auto [it, isFirst] = mLost.try_emplace(aReplica.mName);
  LostCalls& lost = it->second;
  if (!isFirst && lost.mReplica.mStartedAt != aReplica.mStartedAt) {
    OnCrashed(aContext, std::exchange(lost, LostCalls{}));
    isFirst = true;
  }
  if (lost.mContents.size() < kMaxReportedContents) {
    const std::vector<ContentId> contents = ContentsOf(aRequest);
    lost.mContents.insert(contents.begin(), contents.end());
    lost.mRequests.insert(aRequest.mFingerprint);
  }
  if (aRanAlone) {
    lost.mRanAlone.insert(aRequest.mFingerprint);
  }
  ++lost.mCount;
  lost.mReplica = aReplica;
  lost.mLostAt = aContext.Now();
  if (isFirst || lost.mIsAccepting) {
    lost.mIsAccepting = false;
    aContext.Emit(CheckServer{ aReplica.mName, aReplica.mAddress });
  }
}

bool
ContentGuard::OnSound(ContentId aContent)
{
  for (auto& [server, lost] : mLost) {
    lost.mContents.erase(aContent);
    lost.mRequests.erase(aContent);
    lost.mRanAlone.erase(aContent);
  }
  return mContent.OnSound(aContent);
}

void
ContentGuard::OnAnswered(RelayContext& aContext, const RelayRequest& aRequest)
{
  ContentReport report;
  for (const ContentId content : ContentsOf(aRequest)) {
    if (OnSound(content)) {
      report.mSound.push_back(content);
    }
  }
  if (!report.mSound.empty()) {
    SendToOthers(aContext, report);
  }
}

// A replica that accepts a connection may have restarted before the check.
bool
ContentGuard::On(RelayContext& aContext, const ServerChecked& aEvent)
{
  const auto it = mLost.find(aEvent.mServer);
  if (it == mLost.end()) {
    return false;
  }
  if (!aEvent.mIsDown) {
    it->second.mIsAccepting = true;
    aContext.Emit(RelayLogEntry{ "replica-accepts",
                                 "",
                                 "server=" + aEvent.mServer.mValue + " calls=" +
                                   std::to_string(it->second.mCount) });
    return false;
  }
  const LostCalls lost = std::move(it->second);
  mLost.erase(it);
  return OnCrashed(aContext, lost);
}

bool
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
  bool isNewlyRefused = false;
  for (const LostCalls& lost : crashed) {
    isNewlyRefused = OnCrashed(aContext, lost) || isNewlyRefused;
  }
  return isNewlyRefused;
}

bool
ContentGuard::OnReplaced(RelayContext& aContext, const ServerName& aServer)
{
  auto lost = mLost.extract(aServer);
  return !lost.empty() && OnCrashed(aContext, lost.mapped());
}

bool
ContentGuard::OnCrashed(RelayContext& aContext, const LostCalls& aLost)
{
  ContentReport report;
  report.mCrash = CrashIdOf(aLost.mReplica);
  report.mSuspects.assign(aLost.mContents.begin(), aLost.mContents.end());
  report.mRanAlone.assign(aLost.mRanAlone.begin(), aLost.mRanAlone.end());
  aContext.Emit(
    RelayLogEntry{ "replica-crashed",
                   "",
                   "server=" + aLost.mReplica.mName.mValue +
                     " calls=" + std::to_string(aLost.mCount) +
                     " suspects=" + std::to_string(report.mSuspects.size()) +
                     " alone=" + std::to_string(report.mRanAlone.size()) });
  if (report.mSuspects.empty()) {
    return false;
  }
  const std::vector<ContentId> refused = RecordCrash(aContext, report);
  // Other nodes may have counted fewer crashes.
  for (const ContentId content : refused) {
    const auto remaining = mContent.RefusedFor(aContext.Now(), content);
    report.mRefused.push_back({ content, remaining.value_or(Duration{}) });
  }
  SendToOthers(aContext, report);
  return !refused.empty();
}

std::vector<ContentId>
ContentGuard::RecordCrash(RelayContext& aContext, const ContentReport& aReport)
{
  KeepCrash(aContext.Now(), aReport);
  std::vector<ContentId> refused = mContent.OnCrash(
    aContext.Now(), aReport.mCrash, aReport.mSuspects, aReport.mRanAlone);
  LogContents(aContext,
              "content-refused",
              refused,
              " reason=\"was running at several crashes\"");
  return refused;
}

// Several nodes report one crash, each with its own calls.
void
ContentGuard::KeepCrash(Instant aNow, const ContentReport& aReport)
{
  const auto known =
    std::find_if(mCrashes.begin(), mCrashes.end(), [&](const auto& aCrash) {
      return aCrash.mReport.mCrash == aReport.mCrash;
    });
  if (known == mCrashes.end()) {
    ContentReport report;
    report.mCrash = aReport.mCrash;
    report.mSuspects = aReport.mSuspects;
    report.mRanAlone = aReport.mRanAlone;
    mCrashes.push_back({ aNow, std::move(report) });
    if (mCrashes.size() > kMaxKnownCrashes) {
      mCrashes.pop_front();
    }
    return;
  }
  const auto addMissing = [](const auto& aFrom, auto& aTo) {
    for (const ContentId content : aFrom) {
      if (aTo.size() < kMaxReportedContents &&
          std::find(aTo.begin(), aTo.end(), content) == aTo.end()) {
        aTo.push_back(content);
      }
    }
  };
  addMissing(aReport.mSuspects, known->mReport.mSuspects);
  addMissing(aReport.mRanAlone, known->mReport.mRanAlone);
}

std::vector<ContentReport>
ContentGuard::KnownCrashes() const
{
  std::vector<ContentReport> reports;
  const auto isCleared = [this](ContentId aContent) {
    return !mContent.IsSuspect(aContent);
  };
  for (const KnownCrash& crash : mCrashes) {
    ContentReport report = crash.mReport;
    std::erase_if(report.mSuspects, isCleared);
    std::erase_if(report.mRanAlone, isCleared);
    if (!report.mSuspects.empty()) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

void
ContentGuard::OnJoined(RelayContext& aContext,
                       const std::vector<NodeId>& aNodes)
{
  for (const NodeId& node : aNodes) {
    mJoinedAt[node] = aContext.Now();
  }
  std::vector<ContentReport> reports = KnownCrashes();
  ContentReport refused;
  refused.mRefused = mContent.AllRefused(aContext.Now());
  if (!refused.mRefused.empty()) {
    reports.push_back(std::move(refused));
  }
  if (reports.empty()) {
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
    if (std::count_if(members.begin(), members.end(), isPreferred) >=
        kTellingNodes) {
      continue;
    }
    for (const ContentReport& report : reports) {
      aContext.mShared.Send(node, report);
    }
  }
}

bool
ContentGuard::On(RelayContext& aContext,
                 const NodeId& aFrom,
                 const ContentReport& aReport)
{
  bool isNewlyRefused = false;
  if (aReport.mCrash != 0) {
    isNewlyRefused = !RecordCrash(aContext, aReport).empty();
  }
  for (const ContentId content : aReport.mSound) {
    if (mContent.RefusedFor(aContext.Now(), content)) {
      LogContents(aContext, "content-accepted", { content }, "");
    }
    OnSound(content);
  }
  ContentReport reply;
  for (const RefusedContent& refused : aReport.mRefused) {
    const bool isKnown =
      mContent.RefusedFor(aContext.Now(), refused.mContent).has_value();
    if (!mContent.OnRefused(aContext.Now(), refused)) {
      reply.mSound.push_back(refused.mContent);
    } else if (!isKnown &&
               mContent.RefusedFor(aContext.Now(), refused.mContent)) {
      isNewlyRefused = true;
      LogContents(aContext,
                  "content-refused",
                  { refused.mContent },
                  " reason=\"by " + aFrom.mName.mValue + '"');
    }
  }
  if (!reply.mSound.empty()) {
    aContext.mShared.Send(aFrom, std::move(reply));
  }
  return isNewlyRefused;
}

// Repeated to random peers, so that nodes that start or missed a message
// receive it without a request.
void
ContentGuard::OnTimer(RelayContext& aContext)
{
  if (aContext.Now() - mSharedAt < kShareInterval) {
    return;
  }
  mSharedAt = aContext.Now();
  mContent.DropExpired(aContext.Now());
  std::erase_if(mLost, [&](const auto& aItem) {
    return aContext.Now() - aItem.second.mLostAt > kEvidenceTime;
  });
  std::erase_if(mJoinedAt, [&](const auto& aItem) {
    return aContext.Now() - aItem.second > kNewNodeTime;
  });
  std::erase_if(mCrashes, [&](const KnownCrash& aCrash) {
    return aContext.Now() - aCrash.mAt > kKnownCrashLifetime;
  });
  ContentReport report;
  report.mRefused = mContent.AllRefused(aContext.Now());
  if (report.mRefused.empty()) {
    return;
  }
  for (const NodeId& peer : ChooseRandomPeers(aContext, kSharePeers)) {
    aContext.mShared.Send(peer, report);
  }
}

} // namespace heatherfork::detail
