#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "heatherfork/time.h"

/// Whether what was sent on a connection reaches its peer.
namespace heatherfork::relay {

/// What the kernel reports about the bytes sent on a connection.
struct SendState
{
  std::uint64_t mAcknowledgedBytes = 0; ///< Since the connection was opened.
  bool mHasUnacknowledged = false; ///< Bytes are in flight or not yet sent.
  bool mAwaitsReply = false; ///< Bytes in flight, or a probe of the window.
  Duration mSinceReply{};    ///< Since the peer acknowledged anything.

  auto operator<=>(const SendState&) const = default;
};

/// Returns nullopt if the kernel doesn't report the state.
std::optional<SendState>
ReadSendState(int aDescriptor);

/// How the peer of a connection receives.
enum class DeliveryState : std::uint8_t
{
  kDelivered, ///< The peer has acknowledged all bytes.
  kUnderWay,
  kPaused, ///< The peer answers, and has read nothing for kPauseLimit.
  kSilent, ///< The peer has answered nothing for kSilenceLimit.
};

/// Time without progress after which a peer counts as paused.
inline constexpr Duration kPauseLimit = Milliseconds(2000);

/// Time without a reply after which a peer counts as gone.
inline constexpr Duration kSilenceLimit = Milliseconds(2000);

/// Distinguishes peers that read slowly from peers that are gone. Contains no
/// I/O.
class DeliveryProgress
{
public:
  /// The peer has now been sent the first bytes that it has not acknowledged.
  void Begin(Instant aNow);

  DeliveryState Update(const SendState& aState, Instant aNow);

  /// Time since the peer last acknowledged bytes.
  Duration WithoutProgress(Instant aNow) const { return aNow - mProgressAt; }

  /// How long the kernel may let bytes stay unacknowledged; 0: without limit.
  Duration KernelTimeout() const;

private:
  std::uint64_t mAcknowledgedBytes = 0;
  bool mIsKnown = false; ///< mAcknowledgedBytes is set.
  Instant mProgressAt{};
  Instant mReplyAt{};
  Instant mUnansweredSince{};
  Instant mUpdatedAt{};
  Instant mBeganAt{};
  bool mIsDelivered = true;

  /// The kernel's clock of unanswered probes may run since then.
  std::optional<Instant> mProbedSince;
};

/// Checks one connection now and then while it has undelivered bytes, and lets
/// the kernel keep it as long as its peer answers.
class DeliveryWatch
{
public:
  /// Bytes were passed to the kernel.
  void OnWritten(Instant aNow);

  /// The peer has answered, so it has read what it was sent.
  void OnAnswered() { mState = DeliveryState::kDelivered; }

  /// Reads the state of the connection if a check is due. Returns the state as
  /// last checked.
  DeliveryState Check(int aDescriptor, Instant aNow);

  /// Whether the peer may not have acknowledged all bytes, as last checked.
  bool IsUndelivered() const { return mState != DeliveryState::kDelivered; }

  bool IsPaused() const { return mState == DeliveryState::kPaused; }

  /// Time since the peer last acknowledged bytes; 0 if it has all of them.
  Duration WithoutProgress(Instant aNow) const;

private:
  DeliveryState mState = DeliveryState::kDelivered;
  DeliveryProgress mProgress;
  Duration mKernelTimeout = kSilenceLimit;
  Instant mNextCheckAt{};
};

} // namespace heatherfork::relay
