#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "heatherfork/detail/relay/relay_context.h"

/// Proof that this node's routes, and with them the keys, are current.
namespace heatherfork::detail {

/// Holds an instant whose earlier changes are all part of the routes in force
/// here, and keeps it recent. Does nothing without a limit on the delay of
/// withdrawn keys.
class KeyProof
{
public:
  void Update(const RoutingPtr& aRouting) { mRouting = aRouting; }

  void On(RelayContext& aContext, const RoutesConfirmed& aEvent);
  void On(RelayContext& aContext,
          const NodeId& aFrom,
          const KeyProofRequest& aRequest);
  void On(RelayContext& aContext, const KeyProofReply& aReply);
  void OnTimer(RelayContext& aContext);

  /// Whether requests with keys may be sent now.
  bool IsCurrent(const RelaySettings& aSettings, Instant aNow) const;

  /// When requests with keys may no longer be sent; empty: no such limit.
  std::optional<Instant> SendLimit(const RelaySettings& aSettings) const;

  /// Whether the store should be asked because other nodes did not help.
  bool ShouldAskStore(const RelaySettings& aSettings, Instant aNow) const;

  /// Empty without a proof.
  std::optional<Duration> Age(Instant aNow) const;

private:
  bool IsNeeded(const RelaySettings& aSettings) const;
  void Advance(RelayContext& aContext, Instant aProvenAt);
  std::optional<NodeId> ChoosePeer(RelayContext& aContext) const;
  void Ask(RelayContext& aContext);
  void LogChange(RelayContext& aContext);

  RoutingPtr mRouting;
  std::optional<Instant> mProvenAt;
  std::map<std::uint64_t, Instant> mQuestions; ///< Sent lately, by number.
  std::uint64_t mLastNumber = 0;
  int mFruitlessQuestions = 0; ///< Since the proof was last recent.
  Instant mNextAskAt{};
  bool mWasCurrent = false; ///< As logged last.
};

} // namespace heatherfork::detail
