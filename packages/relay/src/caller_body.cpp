#include "heatherfork/detail/relay/caller_port.h"

#include <algorithm>
#include <utility>

/// Reading of request bodies within the memory of the node.
namespace heatherfork::relay {

namespace {

constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpServiceUnavailable = 503;

} // namespace

// Decides whether the body is read on. Returns false if it waits for room, or
// if the request has been answered without it.
bool
CallerConnection::AdmitBody()
{
  const HttpHead& head = mReader.Head();
  if (mBodyId != 0) {
    mIntake.Receive(mBodyId, mBody.size(), SteadyNow());
    // A body in chunks has outgrown what was asked for it.
    return mBody.size() <= mRoomBytes || AskForRoom(mLimits.mMaxBodyBytes);
  }
  if (mReader.IsDone()) {
    mBodyId = mIntake.Begin();
    return AskForRoom(mBody.size());
  }
  if (!mListener.NeedsBody(head)) {
    BeginAnswer();
    mWantsClose = true;
    mIsUnread = true;
    FreeText(mBody);
    mListener.OnUnreadRequest(CallerResponse(shared_from_this()), head);
    return false;
  }
  mBodyId = mIntake.Begin();
  const std::size_t unknown =
    std::min(std::max(mBody.size(), kMaxSmallBodyBytes), mLimits.mMaxBodyBytes);
  return AskForRoom(head.mLength.value_or(unknown));
}

bool
CallerConnection::AskForRoom(std::size_t aBytes)
{
  mRoomBytes = aBytes;
  const auto state =
    mIntake.Ask(mBodyId, aBytes, mLimits.mHeaderTimeout, SteadyNow());
  // What is refused isn't read either; CheckRoom answers it.
  mIsWaitingForRoom = state != BodyIntake::State::kReading;
  if (!mIsWaitingForRoom && !mReader.IsDone()) {
    mBody.reserve(aBytes);
  }
  return !mIsWaitingForRoom;
}

// Applies what has been decided since.
void
CallerConnection::CheckRoom()
{
  switch (mIntake.StateOf(mBodyId)) {
    case BodyIntake::State::kReading:
      if (std::exchange(mIsWaitingForRoom, false)) {
        mPeriodStart = SteadyNow();
        if (!mReader.IsDone()) {
          mBody.reserve(mRoomBytes);
        }
        ProcessInput();
        UpdateInterest();
      }
      return;
    case BodyIntake::State::kWaiting:
      return;
    case BodyIntake::State::kDropped:
      Reject(kHttpRequestTimeout);
      return;
    case BodyIntake::State::kRefused:
      Reject(kHttpServiceUnavailable);
      return;
  }
}

void
CallerConnection::EndBody()
{
  if (const BodyId id = std::exchange(mBodyId, 0)) {
    mIntake.End(id);
  }
  mIsWaitingForRoom = false;
  FreeText(mBody);
}

// Input after a rejected request must not be parsed. Reading it lets the caller
// receive the answer, but not without end.
void
CallerConnection::DiscardInput()
{
  mDiscardedBytes += mInput.size();
  mInput.clear();
  if (mDiscardedBytes > mLimits.mMaxBodyBytes) {
    End();
  }
}

} // namespace heatherfork::relay
