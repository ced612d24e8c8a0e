#include "heatherfork/detail/relay/workspace_quotas.h"

#include <algorithm>
#include <utility>

namespace heatherfork::detail {

namespace {

// An answer to an older question counts as lost.
constexpr Duration kMaxAnswerAge = Milliseconds(1000);

// Membership suspects an owner that is gone before this.
constexpr Duration kMaxWait = Milliseconds(2000);

// Between two questions about a workspace to another node.
constexpr Duration kAskInterval = Milliseconds(20);

constexpr Duration kDropInterval = Milliseconds(5000);
constexpr std::size_t kMaxCounts = 32; ///< Of workspaces in the metrics.

void
Append(std::vector<WorkspaceDecision>& aAll,
       const WorkspaceName& aWorkspace,
       const std::vector<QuotaDecision>& aDecisions)
{
  for (const QuotaDecision& decision : aDecisions) {
    aAll.push_back({ aWorkspace, decision });
  }
}

} // namespace

std::vector<WorkspaceDecision>
WorkspaceQuotas::Update(const RoutingPtr& aRouting,
                        const RelaySettings& aSettings)
{
  mLimits.clear();
  for (const RoutedWorkspace& workspace : aRouting->mWorkspaces) {
    if (workspace.mQuota.mRate > 0) {
      mLimits[workspace.mName] = { workspace.mQuota,
                                   MakeQuotaPlan(workspace.mQuota, aSettings) };
    }
  }
  std::vector<WorkspaceDecision> decisions;
  for (auto& [name, account] : mAccounts) {
    if (!mLimits.contains(name)) {
      Append(decisions, name, account.GrantAll());
    }
  }
  std::erase_if(mAccounts, [&](const auto& aItem) {
    return !mLimits.contains(aItem.first);
  });
  mOwner.Retain([&](const WorkspaceName& aWorkspace) {
    return mLimits.contains(aWorkspace);
  });
  return decisions;
}

const WorkspaceQuota*
WorkspaceQuotas::Find(const WorkspaceName& aWorkspace) const
{
  const auto it = mLimits.find(aWorkspace);
  return it == mLimits.end() ? nullptr : &it->second.mQuota;
}

// Other nodes may have owned its workspaces while this node was paused.
void
WorkspaceQuotas::UpdateMembers(Context& aContext)
{
  const Duration gap = aContext.mNow - mLastEvent;
  if (mLastEvent != Instant{} &&
      gap > aContext.mSettings.mMembership.mPauseGap) {
    mOwner.Clear();
    mMembers.Restart(aContext.mNow);
  }
  mLastEvent = aContext.mNow;
  if (mMembers.Update(aContext)) {
    mOwnersChanged = true;
    mOwner.Retain([&](const WorkspaceName& aWorkspace) {
      return mMembers.OwnerOf(aWorkspace) == aContext.mSettings.mSelf;
    });
  }
}

QuotaDecision
WorkspaceQuotas::Take(Context& aContext,
                      const WorkspaceName& aWorkspace,
                      CallerId aCaller,
                      std::int64_t aUnits,
                      Duration aTimeLeft)
{
  UpdateMembers(aContext);
  const QuotaDecision decision = mAccounts[aWorkspace].Take(
    aContext.mNow,
    aCaller,
    aUnits,
    aContext.mNow + std::min(kMaxWait, aTimeLeft / 2));
  Ask(aContext, { aWorkspace });
  return decision;
}

void
WorkspaceQuotas::Leave(const WorkspaceName& aWorkspace, CallerId aCaller)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it != mAccounts.end()) {
    it->second.Leave(aCaller);
  }
}

QuotaTaken
WorkspaceQuotas::Taken(Instant aNow,
                       const WorkspaceName& aWorkspace,
                       std::int64_t aUnits) const
{
  const auto it = mLimits.find(aWorkspace);
  return it == mLimits.end()
           ? QuotaTaken{}
           : QuotaTaken{ aUnits, aNow + it->second.mPlan.mLifetime };
}

void
WorkspaceQuotas::GiveBack(Instant aNow,
                          const WorkspaceName& aWorkspace,
                          const QuotaTaken& aTaken)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it != mAccounts.end() && aTaken.mUnits > 0) {
    it->second.GiveBack(aNow, aTaken.mUnits, aTaken.mValidUntil);
  }
}

// One message for each owner.
void
WorkspaceQuotas::Ask(Context& aContext,
                     const std::vector<WorkspaceName>& aWorkspaces)
{
  std::map<NodeId, QuotaRequest> requests;
  for (const WorkspaceName& name : aWorkspaces) {
    const NodeId owner = mMembers.OwnerOf(name);
    if (auto need = mAccounts.at(name).NextNeed(
          aContext.mNow,
          owner,
          mLimits.at(name).mPlan,
          owner == aContext.mSettings.mSelf ? Duration{} : kAskInterval)) {
      need->mWorkspace = name;
      requests[owner].mNeeds.push_back(std::move(*need));
    }
  }
  for (auto& [owner, request] : requests) {
    request.mNumber = ++mLastNumber;
    mQuestions[request.mNumber] = { owner, aContext.mNow };
    aContext.Send(owner, std::move(request));
  }
}

void
WorkspaceQuotas::On(Context& aContext,
                    const NodeId& aFrom,
                    const QuotaRequest& aRequest)
{
  UpdateMembers(aContext);
  QuotaGrant grant;
  grant.mNumber = aRequest.mNumber;
  for (const QuotaNeed& need : aRequest.mNeeds) {
    const auto limit = mLimits.find(need.mWorkspace);
    if (limit != mLimits.end() &&
        mMembers.OwnerOf(need.mWorkspace) == aContext.mSettings.mSelf) {
      grant.mCredits.push_back(
        mOwner.Lend(aContext.mNow,
                    need,
                    limit->second.mPlan,
                    mMembers.Part(),
                    mMembers.OwnedSince(need.mWorkspace)));
    }
  }
  if (!grant.mCredits.empty()) {
    aContext.Send(aFrom, std::move(grant));
  }
}

std::vector<WorkspaceDecision>
WorkspaceQuotas::On(Context& aContext,
                    const NodeId& aFrom,
                    const QuotaGrant& aGrant)
{
  UpdateMembers(aContext);
  const auto question = mQuestions.find(aGrant.mNumber);
  if (question == mQuestions.end() || question->second.mOwner != aFrom ||
      aContext.mNow - question->second.mSentAt > kMaxAnswerAge) {
    return {};
  }
  const Instant sentAt = question->second.mSentAt;
  mQuestions.erase(question);
  std::vector<WorkspaceDecision> decisions;
  std::vector<WorkspaceName> answered;
  for (const QuotaCredit& credit : aGrant.mCredits) {
    const auto it = mAccounts.find(credit.mWorkspace);
    if (it != mAccounts.end()) {
      answered.push_back(credit.mWorkspace);
      Append(decisions,
             credit.mWorkspace,
             it->second.On(aContext.mNow, credit, aFrom, sentAt));
    }
  }
  if (aFrom != aContext.mSettings.mSelf) {
    Ask(aContext, answered);
  }
  return decisions;
}

std::vector<WorkspaceDecision>
WorkspaceQuotas::OnTimer(Context& aContext)
{
  UpdateMembers(aContext);
  std::vector<WorkspaceDecision> decisions;
  std::vector<WorkspaceName> asking;
  for (auto& [name, account] : mAccounts) {
    Append(decisions, name, account.Expire(aContext.mNow));
    if (account.IsActive(aContext.mNow)) {
      asking.push_back(name);
    }
  }
  Ask(aContext, asking);
  std::erase_if(mQuestions, [&](const auto& aItem) {
    return aContext.mNow - aItem.second.mSentAt > kMaxAnswerAge;
  });
  if (aContext.mNow - mDroppedAt >= kDropInterval) {
    mDroppedAt = aContext.mNow;
    mOwner.DropIdle(aContext.mNow);
    std::erase_if(mAccounts, [&](const auto& aItem) {
      return aItem.second.IsIdle(aContext.mNow);
    });
  }
  return decisions;
}

std::int64_t
WorkspaceQuotas::HeldUnits(const WorkspaceName& aWorkspace) const
{
  const auto it = mAccounts.find(aWorkspace);
  return it == mAccounts.end() ? 0 : it->second.Units();
}

bool
WorkspaceQuotas::TakeOwnersChanged()
{
  return std::exchange(mOwnersChanged, false);
}

std::vector<QuotaCounts>
WorkspaceQuotas::Counts() const
{
  std::vector<QuotaCounts> all;
  for (const auto& [name, account] : mAccounts) {
    all.push_back(account.Counts());
    all.back().mWorkspace = name;
  }
  std::stable_sort(all.begin(),
                   all.end(),
                   [](const QuotaCounts& aOne, const QuotaCounts& aTwo) {
                     return aOne.mUsed > aTwo.mUsed;
                   });
  all.resize(std::min(all.size(), kMaxCounts));
  return all;
}

} // namespace heatherfork::detail
