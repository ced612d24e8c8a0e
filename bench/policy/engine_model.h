#pragma once

#include "heatherfork/time.h"

/// Timing and capacity of the simulated engines.
namespace heatherfork::bench {

constexpr double kPrefillOverheadMicros = 5000;
constexpr double kPrefillPerTokenMicros = 25;
constexpr double kDecodeStepBaseMicros = 14000;
constexpr double kDecodeStepPerRequestMicros = 1800;
constexpr double kEgressPerTokenMicros = 9;
constexpr double kLinkPerTokenMicros = 2.8;
constexpr double kTransferOverheadMicros = 1000;
constexpr int kPrefillSlots = 16;
constexpr int kDecodeSlots = 24;
constexpr int kDecodePieces = 110;
constexpr int kTokensPerPiece = 2000;
constexpr int kPrefixCacheTokens = 40000; ///< Of one prefill server.
constexpr Duration kResultLifetime = Milliseconds(800);
constexpr double kPlainCallMicros = 20000;
constexpr int kPlainSlots = 8;

inline Duration
MicrosToDuration(double aMicros)
{
  return Duration(static_cast<std::int64_t>(aMicros));
}

inline double
PrefillMicros(int aUncachedTokens)
{
  return kPrefillOverheadMicros + kPrefillPerTokenMicros * aUncachedTokens;
}

inline double
DecodeStepMicros(int aBatch)
{
  return kDecodeStepBaseMicros + kDecodeStepPerRequestMicros * aBatch;
}

} // namespace heatherfork::bench
