#include "heatherfork/detail/relay/caller_port.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "heatherfork/detail/relay/sockets.h"

/// Answers that a caller has not read.
namespace heatherfork::relay {

bool
CallerConnection::IsBusy() const
{
  if (mDescriptor < 0) {
    return false;
  }
  if (mIsAnswering || !mOutput.IsEmpty() ||
      (mReader.HasBegun() && !mClosesAfterWrite)) {
    return true;
  }
  const auto state =
    mDelivery.IsUndelivered() ? ReadSendState(mDescriptor) : std::nullopt;
  return state && state->mHasUnacknowledged;
}

void
CallerConnection::Replace()
{
  if (IsPaused()) {
    Report(ReaderEvent::kNoRoom, SteadyNow());
  }
  End();
}

void
CallerConnection::BeginAnswer()
{
  mIsAnswering = true;
  mRequestId.clear();
  mEarlierReadUntil = mDelivery.IsUndelivered() ? mReadUntil : Instant{};
  mReadUntil = std::max(mEarlierReadUntil, SteadyNow() + mLimits.mIdleTimeout);
}

void
CallerConnection::SetRequest(std::string aId, Duration aTimeLeft)
{
  mRequestId = std::move(aId);
  if (aTimeLeft > Duration{}) {
    mReadUntil = std::max(mEarlierReadUntil, SteadyNow() + aTimeLeft);
  }
}

// A connection without a request has nothing to report.
void
CallerConnection::Report(ReaderEvent aEvent, Instant aNow)
{
  if (IsIdle() && !HasUnread()) {
    return;
  }
  mListener.OnReader({ aEvent,
                       mRequestId,
                       PeerAddress(mDescriptor),
                       mOutput.Size() + UnacknowledgedBytes(mDescriptor),
                       mDelivery.WithoutProgress(aNow) });
}

// A peer that has stopped answering ends the connection, also while its request
// is being answered. One that has paused may stay until its request's deadline;
// a request that is still being answered ends by itself.
void
CallerConnection::CheckDelivery(Instant aNow)
{
  const bool wasPaused = mDelivery.IsPaused();
  switch (mDelivery.Check(mDescriptor, aNow)) {
    case DeliveryState::kDelivered:
    case DeliveryState::kUnderWay:
      if (wasPaused) {
        mReadAt = aNow;
      }
      return;
    case DeliveryState::kSilent:
      Report(ReaderEvent::kSilent, aNow);
      End();
      return;
    case DeliveryState::kPaused:
      break;
  }
  if (!wasPaused) {
    Report(ReaderEvent::kPaused, aNow);
  }
  if (!mIsAnswering && aNow >= mReadUntil) {
    Report(ReaderEvent::kTooLate, aNow);
    End();
  }
}

bool
CallerPort::CloseLongestPaused()
{
  const Instant now = SteadyNow();
  CallerConnection* first = nullptr;
  for (const auto& connection : mConnections) {
    if (connection->IsPaused() && connection->UnreadBytes() > 0 &&
        (first == nullptr ||
         connection->WithoutProgress(now) > first->WithoutProgress(now))) {
      first = connection.get();
    }
  }
  if (first != nullptr) {
    first->Replace();
  }
  return first != nullptr;
}

std::size_t
CallerPort::PausedReaders() const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aConnection) {
      return aConnection->IsPaused();
    }));
}

} // namespace heatherfork::relay
