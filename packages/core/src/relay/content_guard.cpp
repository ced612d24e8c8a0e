#include "heatherfork/detail/relay/content_guard.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "heatherfork/detail/hash.h"

namespace heatherfork::detail {

namespace {

// A node that starts hears of refused content well before its first requests
// could matter, and each message may be lost.
constexpr Duration kShareInterval = Milliseconds(500);
constexpr int kSharePeers = 2;

// Bounds a report, and the work for it at the receivers.
constexpr std::size_t kMaxReportedContents = 512;

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
SendToOthers(RelayContext& aContext, const ContentReport& aReport)
{
  for (const Member& member : aContext.mShared.mMembers) {
    if (member.mNode != aContext.mShared.mSettings.mSelf &&
        member.mStatus != MemberStatus::kDead) {
      aContext.mShared.Send(member.mNode, aReport);
    }
  }
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
  const auto hasLost = [content](const auto& aItem) {
    const auto& lost = aItem.second.mContents;
    return std::any_of(lost.begin(), lost.end(), [&](const auto& aContents) {
      return aContents.back() == content;
    });
  };
  return mContent.IsSuspect(content) ||
         std::any_of(mUnchecked.begin(), mUnchecked.end(), hasLost);
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
  const auto [it, isFirst] = mUnchecked.try_emplace(aReplica.mName);
  it->second.mContents.push_back(ContentsOf(aRequest));
  if (aRanAlone) {
    it->second.mRanAlone.push_back(aRequest.mFingerprint);
  }
  if (isFirst) {
    it->second.mCrash = CrashIdOf(aReplica);
    aContext.Emit(CheckServer{ aReplica.mName, aReplica.mAddress });
  }
}

void
ContentGuard::OnAnswered(RelayContext& aContext, const RelayRequest& aRequest)
{
  ContentReport report;
  for (const ContentId content : ContentsOf(aRequest)) {
    if (mContent.OnSound(content)) {
      report.mSound.push_back(content);
    }
  }
  if (!report.mSound.empty()) {
    SendToOthers(aContext, report);
  }
}

bool
ContentGuard::On(RelayContext& aContext, const ServerChecked& aEvent)
{
  const auto it = mUnchecked.find(aEvent.mServer);
  if (it == mUnchecked.end()) {
    return false;
  }
  const LostCalls lost = std::move(it->second);
  mUnchecked.erase(it);
  if (!aEvent.mIsDown) {
    return false;
  }
  std::set<ContentId> contents;
  for (const std::vector<ContentId>& request : lost.mContents) {
    if (contents.size() < kMaxReportedContents) {
      contents.insert(request.begin(), request.end());
    }
  }
  ContentReport report;
  report.mCrash = lost.mCrash;
  report.mSuspects.assign(contents.begin(), contents.end());
  aContext.Emit(
    RelayLogEntry{ "replica-crashed",
                   "",
                   "server=" + aEvent.mServer.mValue +
                     " calls=" + std::to_string(lost.mContents.size()) +
                     " suspects=" + std::to_string(contents.size()) +
                     " alone=" + std::to_string(lost.mRanAlone.size()) });
  report.mRanAlone = lost.mRanAlone;
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
  std::vector<ContentId> refused = mContent.OnCrash(
    aContext.Now(), aReport.mCrash, aReport.mSuspects, aReport.mRanAlone);
  LogContents(aContext,
              "content-refused",
              refused,
              " reason=\"was running at several crashes\"");
  return refused;
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
    mContent.OnSound(content);
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

// Random peers are told again and again, so that nodes that start or missed a
// message hear of it without a question.
void
ContentGuard::OnTimer(RelayContext& aContext)
{
  if (aContext.Now() - mSharedAt < kShareInterval) {
    return;
  }
  mSharedAt = aContext.Now();
  mContent.DropExpired(aContext.Now());
  ContentReport report;
  report.mRefused = mContent.AllRefused(aContext.Now());
  if (report.mRefused.empty()) {
    return;
  }
  std::vector<NodeId> others;
  for (const Member& member : aContext.mShared.mMembers) {
    if (member.mNode != aContext.mShared.mSettings.mSelf &&
        member.mStatus == MemberStatus::kAlive) {
      others.push_back(member.mNode);
    }
  }
  for (int n = 0; n < kSharePeers && !others.empty(); ++n) {
    const std::size_t index = aContext.mShared.mRandom() % others.size();
    aContext.mShared.Send(others[index], report);
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

} // namespace heatherfork::detail
