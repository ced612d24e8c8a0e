#include "heatherfork/detail/relay/delivery_watch.h"

#include <algorithm>
#include <cstddef>

// The C library's tcp_info lacks the members that are read here.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "heatherfork/detail/relay/sockets.h"

namespace heatherfork::relay {

namespace {

// The kernel probes a closed window after this time or more. Most bytes are
// acknowledged before the first check, which then is the only one.
constexpr Duration kMinProbeDelay = Milliseconds(200);
constexpr Duration kFirstCheckAfter = Milliseconds(150);

// The kernel sends a probe at least once in its timeout, so a reply is seen,
// and the timeout raised, long before the timeout ends.
constexpr Duration kCheckInterval = Milliseconds(250);

constexpr Duration kLongestGap = 4 * kCheckInterval;

// The kernel counts in ticks of up to 10 ms.
constexpr Duration kClockTolerance = Milliseconds(20);

} // namespace

std::optional<SendState>
ReadSendState(int aDescriptor)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr std::size_t kNeededBytes =
    offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(info.tcpi_notsent_bytes);
  if (getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < kNeededBytes) {
    return std::nullopt;
  }
  SendState state;
  state.mAcknowledgedBytes = info.tcpi_bytes_acked;
  state.mHasUnacknowledged =
    info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0;
  state.mAwaitsReply = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  state.mSinceReply = Milliseconds(info.tcpi_last_ack_recv);
  return state;
}

void
DeliveryProgress::Begin(Instant aNow)
{
  mIsKnown = false;
  mIsDelivered = false;
  mBeganAt = aNow;
  mProgressAt = aNow;
  mReplyAt = aNow;
  mUnansweredSince = aNow;
  mUpdatedAt = aNow;
}

DeliveryState
DeliveryProgress::Update(const SendState& aState, Instant aNow)
{
  const Instant replyAt = aNow - aState.mSinceReply;
  mIsDelivered = !aState.mHasUnacknowledged;
  const Instant lastProbeAt = mIsDelivered ? replyAt : aNow;
  if (!mProbedSince && lastProbeAt - mBeganAt >= kMinProbeDelay) {
    mProbedSince = mBeganAt;
  }
  if (mIsDelivered) {
    return DeliveryState::kDelivered;
  }
  const bool hasReplied = replyAt > mReplyAt + kClockTolerance;
  if (hasReplied) {
    mReplyAt = replyAt;
  }
  // Nothing is known of the time for which this process was paused.
  const bool wasPaused = aNow - mUpdatedAt > kLongestGap;
  if (hasReplied || wasPaused || !aState.mAwaitsReply) {
    mUnansweredSince = aNow;
  }
  mUpdatedAt = aNow;
  if (mIsKnown && aState.mAcknowledgedBytes != mAcknowledgedBytes) {
    mProgressAt = std::max(mProgressAt, mReplyAt);
  }
  mIsKnown = true;
  mAcknowledgedBytes = aState.mAcknowledgedBytes;
  if (aNow - mUnansweredSince >= kSilenceLimit) {
    return DeliveryState::kSilent;
  }
  return WithoutProgress(aNow) >= kPauseLimit ? DeliveryState::kPaused
                                              : DeliveryState::kUnderWay;
}

// Linux counts from the first probe of a closed window, whether the peer
// answers or not, and may go on counting after the peer has read on and when
// all is acknowledged. So the timeout covers the time from the first probe that
// the connection may have seen; without unacknowledged bytes there must be
// none.
Duration
DeliveryProgress::KernelTimeout() const
{
  if (!mProbedSince) {
    return kSilenceLimit;
  }
  return mIsDelivered
           ? Duration{}
           : kSilenceLimit + std::max(mReplyAt - *mProbedSince, Duration{});
}

void
DeliveryWatch::OnWritten(Instant aNow)
{
  if (IsUndelivered()) {
    return;
  }
  mState = DeliveryState::kUnderWay;
  mProgress.Begin(aNow);
  mNextCheckAt = aNow + kFirstCheckAfter;
}

DeliveryState
DeliveryWatch::Check(int aDescriptor, Instant aNow)
{
  if (!IsUndelivered() || aNow < mNextCheckAt) {
    return mState;
  }
  mNextCheckAt = aNow + kCheckInterval;
  const auto state = ReadSendState(aDescriptor);
  if (!state) {
    mState = DeliveryState::kDelivered;
    return mState;
  }
  mState = mProgress.Update(*state, aNow);
  const Duration timeout = mProgress.KernelTimeout();
  if (timeout != mKernelTimeout && mState != DeliveryState::kSilent) {
    mKernelTimeout = timeout;
    SetKernelTimeout(aDescriptor, timeout);
  }
  return mState;
}

Duration
DeliveryWatch::WithoutProgress(Instant aNow) const
{
  return IsUndelivered() ? mProgress.WithoutProgress(aNow) : Duration{};
}

} // namespace heatherfork::relay
