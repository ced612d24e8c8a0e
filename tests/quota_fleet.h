#pragma once

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "heatherfork/detail/relay/workspace_quotas.h"

/// Nodes that keep the quota of one workspace, with messages that take time.
namespace heatherfork {

/// A token bucket.
struct ReferenceBucket
{
  double mRate = 0;
  double mBurst = 0;
  double mLevel = mBurst;
  Instant mAt{};

  bool Take(Instant aNow, double aUnits)
  {
    const double passed = std::chrono::duration<double>(aNow - mAt).count();
    mLevel = std::min(mBurst, mLevel + mRate * passed);
    mAt = aNow;
    if (mLevel < aUnits) {
      return false;
    }
    mLevel -= aUnits;
    return true;
  }
};

/// Granted requests, as (time that the caller sent it, units).
using GrantedUnits = std::vector<std::pair<Instant, std::int64_t>>;

/// The most units of one window that begins at aFrom or later.
inline std::int64_t
WorstWindow(GrantedUnits aGranted, Duration aWindow, Instant aFrom = {})
{
  std::erase_if(aGranted,
                [aFrom](const auto& aItem) { return aItem.first < aFrom; });
  std::sort(aGranted.begin(), aGranted.end());
  std::int64_t worst = 0;
  std::int64_t sum = 0;
  std::size_t first = 0;
  for (const auto& [at, units] : aGranted) {
    sum += units;
    while (aGranted[first].first <= at - aWindow) {
      sum -= aGranted[first++].second;
    }
    worst = std::max(worst, sum);
  }
  return worst;
}

class QuotaFleet
{
public:
  static constexpr Duration kStep = Milliseconds(5);
  static constexpr Duration kTimerInterval = Milliseconds(20);
  static constexpr Duration kIdleInterval = Milliseconds(200);
  static constexpr Duration kUsedTime = Milliseconds(1000);

  struct Node
  {
    NodeSettings mSettings;
    Members mView;
    std::uint64_t mViewNumber = 1;
    detail::WorkspaceQuotas mQuotas;
    bool mIsRunning = true; ///< Else paused: messages wait.
    bool mIsDead = false;
    int mSide = 0; ///< Messages pass within one side only.
    Instant mUsedAt{};
  };

  QuotaFleet(int aNodes, WorkspaceQuota aQuota, RelaySettings aSettings)
    : mSettings(aSettings)
  {
    SetQuota(aQuota);
    Members members;
    for (int n = 0; n < aNodes; ++n) {
      Member member;
      const std::string name = std::to_string(10000 + n);
      member.mNode = { NodeName{ name }, std::uint64_t(n) + 1 };
      member.mPeerAddress.mValue = name + ":81";
      members.push_back(member);
    }
    for (const Member& member : members) {
      mNodes.push_back(std::make_unique<Node>());
      Node& node = *mNodes.back();
      node.mSettings.mSelf = member.mNode;
      node.mView = members;
      node.mQuotas.Update(mRouting, mSettings);
    }
  }

  void SetQuota(const WorkspaceQuota& aQuota)
  {
    auto routing = std::make_shared<Routing>();
    RoutedWorkspace workspace;
    workspace.mName = mWorkspace;
    workspace.mQuota = aQuota;
    routing->mWorkspaces = { workspace };
    mRouting = routing;
    for (const auto& node : mNodes) {
      Collect(node->mQuotas.Update(mRouting, mSettings));
    }
  }

  /// The node that aNode takes for the owner.
  int OwnerFor(int aNode) const
  {
    return static_cast<int>(
             mNodes[aNode]->mQuotas.OwnerOf(mWorkspace).mIncarnation) -
           1;
  }

  /// Sets the status of members in the views of the nodes for which aIsSeen
  /// (observer, member) holds.
  void SetStatus(MemberStatus aStatus,
                 const std::function<bool(int, int)>& aIsSeen)
  {
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      for (std::size_t m = 0; m < mNodes.size(); ++m) {
        if (n != m && aIsSeen(static_cast<int>(n), static_cast<int>(m))) {
          mNodes[n]->mView[m].mStatus = aStatus;
        }
      }
      ++mNodes[n]->mViewNumber;
    }
  }

  void Restart(int aNode)
  {
    mNodes[aNode]->mQuotas = {};
    mNodes[aNode]->mQuotas.Update(mRouting, mSettings);
  }

  void Send(int aNode, std::int64_t aUnits)
  {
    Node& node = *mNodes[aNode];
    if (node.mIsDead || !node.mIsRunning) {
      return;
    }
    node.mUsedAt = mNow;
    const CallerId caller = ++mLastCaller;
    mAsked[caller] = { mNow, aUnits };
    if (node.mQuotas.Find(mWorkspace) == nullptr) {
      mGranted.push_back(mAsked[caller]);
      return;
    }
    Run(node, [&](detail::Context& aContext) {
      Collect({ { mWorkspace,
                  node.mQuotas.Take(
                    aContext, mWorkspace, caller, aUnits, kTimeLeft) } });
    });
  }

  /// Delivers messages and timers of one step.
  void Step()
  {
    mNow += kStep;
    std::vector<Message> due;
    std::erase_if(mMessages, [&](Message& aMessage) {
      const Node& to = *mNodes[aMessage.mTo];
      if (aMessage.mAt > mNow || !to.mIsRunning) {
        return false;
      }
      due.push_back(std::move(aMessage));
      return true;
    });
    for (Message& message : due) {
      Deliver(*mNodes[message.mFrom], *mNodes[message.mTo], message.mBody);
    }
    for (const auto& node : mNodes) {
      const auto offset =
        Milliseconds(std::int64_t(node->mSettings.mSelf.mIncarnation) * 5);
      const Duration interval =
        mNow - node->mUsedAt < kUsedTime ? kTimerInterval : kIdleInterval;
      if ((mNow.time_since_epoch() + offset) % interval == Duration{} &&
          node->mIsRunning && !node->mIsDead) {
        Run(*node, [&](detail::Context& aContext) {
          Collect(node->mQuotas.OnTimer(aContext));
        });
      }
    }
  }

  std::vector<std::unique_ptr<Node>> mNodes;
  Instant mNow{ Milliseconds(1000000) };
  Duration mDelay = Milliseconds(5); ///< Of messages; a step is added.
  GrantedUnits mGranted;
  std::map<detail::QuotaVerdict, int> mVerdicts;
  std::uint64_t mMessageCount = 0;
  const WorkspaceName mWorkspace{ "w" };

private:
  static constexpr Duration kTimeLeft = Milliseconds(6000);

  struct Message
  {
    Instant mAt{};
    int mFrom = 0;
    int mTo = 0;
    PeerMessage mBody;
  };

  template<class F>
  void Run(Node& aNode, F aAction)
  {
    Effects effects;
    std::deque<PeerMessage> toSelf;
    const ConfigurationPtr configuration;
    detail::Context context{ aNode.mSettings, mNow,
                             configuration,   aNode.mView,
                             mRandom,         effects,
                             toSelf,          aNode.mViewNumber };
    aAction(context);
    while (!toSelf.empty()) {
      const PeerMessage body = std::move(toSelf.front());
      toSelf.pop_front();
      Handle(aNode, context, aNode.mSettings.mSelf, body);
    }
    for (Effect& effect : effects) {
      if (auto* send = std::get_if<SendToPeer>(&effect)) {
        ++mMessageCount;
        mMessages.push_back(
          { mNow + mDelay,
            static_cast<int>(aNode.mSettings.mSelf.mIncarnation) - 1,
            static_cast<int>(send->mPeer.mIncarnation) - 1,
            std::move(send->mMessage) });
      }
    }
  }

  void Deliver(const Node& aFrom, Node& aTo, const PeerMessage& aBody)
  {
    if (aFrom.mSide == aTo.mSide && !aTo.mIsDead && !aFrom.mIsDead) {
      Run(aTo, [&](detail::Context& aContext) {
        Handle(aTo, aContext, aFrom.mSettings.mSelf, aBody);
      });
    }
  }

  void Handle(Node& aNode,
              detail::Context& aContext,
              const NodeId& aFrom,
              const PeerMessage& aBody)
  {
    if (const auto* request = std::get_if<QuotaRequest>(&aBody)) {
      aNode.mQuotas.On(aContext, aFrom, *request);
    } else if (const auto* grant = std::get_if<QuotaGrant>(&aBody)) {
      Collect(aNode.mQuotas.On(aContext, aFrom, *grant));
    }
  }

  void Collect(const std::vector<detail::WorkspaceDecision>& aDecisions)
  {
    for (const auto& [workspace, decision] : aDecisions) {
      ++mVerdicts[decision.mVerdict];
      if (decision.mVerdict == detail::QuotaVerdict::kGranted) {
        mGranted.push_back(mAsked.at(decision.mCaller));
      }
    }
  }

  RelaySettings mSettings;
  RoutingPtr mRouting;
  std::mt19937_64 mRandom;
  std::vector<Message> mMessages;
  std::map<CallerId, std::pair<Instant, std::int64_t>> mAsked;
  CallerId mLastCaller = 0;
};

} // namespace heatherfork
