#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "heatherfork/detail/context.h"

/// Which node owns the quota of a workspace.
namespace heatherfork::detail {

class QuotaMembers
{
public:
  /// Takes over the members of aContext. Returns whether owners have changed.
  bool Update(const Context& aContext);

  /// Owns everything from now on at the earliest, as after a pause.
  void Restart(Instant aNow) { mOwnSince = std::max(mOwnSince, aNow); }

  /// The owner as this node sees it; of incarnation 0 if there is none yet.
  NodeId OwnerOf(const WorkspaceName& aWorkspace) const;

  /// Since when this node owns it, if it does.
  Instant OwnedSince(const WorkspaceName& aWorkspace) const;

  std::size_t Size() const { return mCandidates.size(); }

  /// Share of the known addresses that is alive, in 0 to 1.
  double Part() const { return mPart; }

private:
  void UpdatePart(const Members& aMembers);
  void UpdateCandidates(const Context& aContext);

  bool mIsStarted = false;
  std::uint64_t mMembersNumber = 0;
  Instant mOwnSince{}; ///< When this node may own something.
  Instant mNextJoin{}; ///< When the next member may own something; 0: none.
  std::map<NodeId, Instant> mSeenAt;
  std::vector<NodeId> mCandidates;                 ///< Ordered.
  mutable std::map<WorkspaceName, NodeId> mOwners; ///< Among mCandidates.
  std::map<NodeId, Instant> mLostAt;
  std::set<Address> mKnown; ///< Addresses that were alive and have not left.
  double mPart = 1;
};

} // namespace heatherfork::detail
