#pragma once

#include <optional>

#include "heatherfork/detail/context.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/relay_settings.h"

/// State that the parts of the relay's reducer share while an event is reduced.
namespace heatherfork::detail {

/// Inputs and effects of relay decisions, in addition to the shared context.
struct RelayContext
{
  Context& mShared;
  const RelaySettings& mSettings;
  const Replicas& mReplicas;
  double mBudgetShare = 1; ///< This node's part of the retry slack.
  /// During a planned stop, when requests must have been answered.
  std::optional<Instant> mLatestAnswer;
  RelayEffects& mEffects;

  Instant Now() const { return mShared.mNow; }

  template<class T>
  void Emit(T aEffect)
  {
    mEffects.emplace_back(std::move(aEffect));
  }
};

} // namespace heatherfork::detail
