#pragma once

#include <map>
#include <vector>

#include "heatherfork/detail/relay/quota_credit.h"
#include "heatherfork/detail/relay/quota_members.h"
#include "heatherfork/detail/relay/quota_owner.h"

/// The quotas of workspaces, which all nodes keep together.
namespace heatherfork::detail {

/// A decision with what it was based on.
struct WorkspaceDecision
{
  WorkspaceName mWorkspace;
  QuotaDecision mDecision;
};

/// Units that a request has taken.
struct QuotaTaken
{
  std::int64_t mUnits = 0;
  Instant mValidUntil{}; ///< They can be given back until then.
};

class WorkspaceQuotas
{
public:
  /// Requests that wait and have no quota any more are granted.
  std::vector<WorkspaceDecision> Update(const RoutingPtr& aRouting,
                                        const RelaySettings& aSettings);

  /// Null if the workspace has no quota.
  const WorkspaceQuota* Find(const WorkspaceName& aWorkspace) const;

  /// Takes units for a request of a workspace with a quota.
  QuotaDecision Take(Context& aContext,
                     const WorkspaceName& aWorkspace,
                     CallerId aCaller,
                     std::int64_t aUnits,
                     Duration aTimeLeft);
  void Leave(const WorkspaceName& aWorkspace, CallerId aCaller);
  void GiveBack(Instant aNow,
                const WorkspaceName& aWorkspace,
                const QuotaTaken& aTaken);
  QuotaTaken Taken(Instant aNow,
                   const WorkspaceName& aWorkspace,
                   std::int64_t aUnits) const;

  void On(Context& aContext, const NodeId& aFrom, const QuotaRequest& aRequest);
  std::vector<WorkspaceDecision> On(Context& aContext,
                                    const NodeId& aFrom,
                                    const QuotaGrant& aGrant);
  std::vector<WorkspaceDecision> OnTimer(Context& aContext);

  /// Whether the workspaces that this node owns have changed since the last
  /// call.
  bool TakeOwnersChanged();
  std::size_t Owned() const { return mOwner.Size(); }
  std::size_t OwnerCount() const { return mMembers.Size(); }
  NodeId OwnerOf(const WorkspaceName& aWorkspace) const
  {
    return mMembers.OwnerOf(aWorkspace);
  }

  /// Credit that this node holds.
  std::int64_t HeldUnits(const WorkspaceName& aWorkspace) const;
  bool Empty() const { return mLimits.empty(); }
  double Part() const { return mMembers.Part(); }

  /// Of the workspaces with the most used units, a bounded number.
  std::vector<QuotaCounts> Counts() const;

private:
  struct Limit
  {
    WorkspaceQuota mQuota;
    QuotaPlan mPlan;
  };

  struct Question
  {
    NodeId mOwner;
    Instant mSentAt{};
  };

  void UpdateMembers(Context& aContext);
  void Ask(Context& aContext, const std::vector<WorkspaceName>& aWorkspaces);

  std::map<WorkspaceName, Limit> mLimits;
  QuotaMembers mMembers;
  QuotaOwner mOwner;
  std::map<WorkspaceName, QuotaCreditAccount> mAccounts; ///< With demand.
  std::map<std::uint64_t, Question> mQuestions;
  std::uint64_t mLastNumber = 0;
  Instant mLastEvent{};
  Instant mDroppedAt{};
  bool mOwnersChanged = false;
};

} // namespace heatherfork::detail
