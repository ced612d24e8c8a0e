#pragma once

#include "heatherfork/configuration.h"

/// KV-cache sizes in pieces.
namespace heatherfork::detail {

/// Pieces that a prompt and its completion occupy at a decode server; at least
/// 1.
int
PiecesFor(const Limits& aLimits, int aPromptTokens, int aMaxTokens);

} // namespace heatherfork::detail
