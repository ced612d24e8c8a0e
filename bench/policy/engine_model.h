#pragma once

#include "heatherfork/time.h"

/// Timing and capacity of the simulated engines.
namespace heatherfork::bench {

constexpr double kPrefillOverhead = 5000;  ///< Microseconds.
constexpr double kPrefillPerToken = 25;    ///< Microseconds.
constexpr double kTokenBase = 14000;       ///< Microseconds.
constexpr double kTokenPerRequest = 1800;  ///< Microseconds.
constexpr double kEgressPerToken = 9;      ///< Microseconds.
constexpr double kLinkPerToken = 2.8;      ///< Microseconds.
constexpr double kTransferOverhead = 1000; ///< Microseconds.
constexpr int kPrefillSlots = 16;
constexpr int kDecodeSlots = 24;
constexpr int kDecodePieces = 110;
constexpr int kTokensPerPiece = 2000;
constexpr int kCacheTokens = 40000; ///< Prefix cache of one prefill server.
constexpr Duration kResultLifetime = Milliseconds(800);
constexpr double kPlainTime = 20000; ///< Microseconds.
constexpr int kPlainSlots = 8;

inline Duration
Micros(double aCount)
{
  return Duration(static_cast<std::int64_t>(aCount));
}

inline double
PrefillMicros(int aUncachedTokens)
{
  return kPrefillOverhead + kPrefillPerToken * aUncachedTokens;
}

inline double
TokenMicros(int aBatch)
{
  return kTokenBase + kTokenPerRequest * aBatch;
}

} // namespace heatherfork::bench
