#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/configuration/head_store.h"
#include "heatherfork/detail/context.h"

/// Distribution of the configuration to all nodes
/// (docs/design/configuration.md).
namespace heatherfork::detail {

/// Receives validated configurations.
class ConfigurationListener
{
public:
  virtual ~ConfigurationListener() = default;

  /// Called with strictly increasing revisions.
  virtual void OnAccepted(Context& aContext, ConfigurationPtr aAccepted) = 0;
};

/// Polls the configuration service when it is this node's turn, fetches new
/// revisions from peers and sends them to the neighbours.
class ConfigurationDistributor
{
public:
  /// aSettings and aListener must outlive this object.
  ConfigurationDistributor(const NodeSettings& aSettings,
                           ConfigurationListener& aListener);

  /// aNeighbours: nodes that new revisions are sent to.
  void On(Context& aContext,
          const TimerFired& aEvent,
          const std::vector<NodeId>& aNeighbours);
  void On(Context& aContext, const HeadRead& aEvent);
  void On(Context& aContext, const PartRead& aEvent);
  void On(Context& aContext, const NodeId& aFrom, const HeadRequest& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const HeadReply& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const PartRequest& aMessage);
  void On(Context& aContext, const NodeId& aFrom, const PartReply& aMessage);

  /// Handles the current revision of aFrom, as reported by a probe or its ack.
  void OnRevision(Context& aContext, const NodeId& aFrom, Revision aRevision);

  /// The newest refused revision, if newer than the current one. Revision 0
  /// stands for a malformed head.
  const std::optional<RefusedRevision>& Refused() const { return mRefused; }

private:
  /// A revision whose parts are being fetched.
  struct PendingRevision
  {
    ConfigurationHead mHead;
    std::vector<NodeId> mSources; ///< Peers that have the revision.
    bool mIsFromService = false;
    std::map<std::string, Instant>
      mRequestedAt; ///< Last request time by digest.
    std::size_t mSourceIndex = 0;
  };

  void AskPeersBeforeService(Context& aContext);
  void PollService(Context& aContext);
  void FetchParts(Context& aContext);
  bool RequestPart(Context& aContext, const std::string& aDigest);
  bool IsPartDue(const std::string& aDigest, Instant aNow) const;
  std::size_t OutstandingParts(Instant aNow) const;
  void DropSource(const NodeId& aSource);
  void HandleNewHead(Context& aContext,
                     const ConfigurationHead& aHead,
                     const std::optional<NodeId>& aSource);
  void StorePart(Context& aContext,
                 const std::string& aDigest,
                 const std::string& aBody);
  void BuildPending(Context& aContext);
  void Accept(Context& aContext, ConfigurationPtr aConfiguration);
  void Refuse(Context& aContext, RefusedRevision aRefused);
  void SendHeadToNeighbours(Context& aContext,
                            const ConfigurationHead& aHead,
                            Revision aBase);
  Revision CurrentRevision() const;
  void EvictUnusedParts();
  void SendHead(Context& aContext,
                const NodeId& aTo,
                const ConfigurationHead& aHead,
                Revision aBase);
  Revision LatestCheckedRevision() const; ///< Newest accepted or refused.

  const NodeSettings& mSettings;
  const ConfigurationSettings& mConfigurationSettings;
  ConfigurationListener& mListener;
  std::vector<NodeId> mNeighbours;
  std::optional<ConfigurationHead> mCurrentHead;
  std::optional<ConfigurationHead> mRefusedHead;
  std::optional<RefusedRevision> mRefused;
  std::optional<PendingRevision> mPending;
  HeadStore mHeads;
  ConfigurationParts mParts;
  std::optional<Instant> mStartedAt;
  std::set<NodeId> mAskedPeers;    ///< Asked at start-up.
  std::set<NodeId> mAwaitingReply; ///< Asked at start-up, no reply yet.
  bool mMayReadService = false; ///< The start-up phase of asking peers is over.
  bool mIsReadOpen = false;
  Instant mReadStartedAt{};
  Instant mNextReadAt{};
  Instant mNextHeadRequestAt{};
};

} // namespace heatherfork::detail
