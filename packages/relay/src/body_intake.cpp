#include "heatherfork/detail/relay/body_intake.h"

#include <algorithm>

namespace heatherfork::relay {

namespace {

// A small body is held a second time, in the text of the replica's call.
std::size_t
HeldBytes(std::size_t aBytes)
{
  return aBytes <= kMaxSmallBodyBytes ? 2 * aBytes : aBytes;
}

// An empty part grants anything, so that one request is always served.
bool
HasRoom(std::size_t aTaken, std::size_t aBytes, std::size_t aLimit)
{
  return aTaken == 0 || (aTaken <= aLimit && aBytes <= aLimit - aTaken);
}

} // namespace

bool
BodyIntake::TryGrant(Body& aBody)
{
  const std::size_t bytes = HeldBytes(aBody.mWanted);
  const bool isSmall = aBody.mWanted <= kMaxSmallBodyBytes;
  if (isSmall && HasRoom(mSmallBytes, bytes, mShares.mSmallBodies)) {
    mSmallBytes += bytes;
    aBody.mSmall = bytes;
    return true;
  }
  if (HasRoom(mLargeBytes, bytes, mShares.mLargeBodies)) {
    mLargeBytes += bytes;
    aBody.mLarge = bytes;
    return true;
  }
  return false;
}

// A body in chunks that outgrows its room holds what has arrived while it waits
// for more.
bool
BodyIntake::TryPark(Body& aBody)
{
  if (aBody.mReceived > mShares.mSmallBodies ||
      mParkedBytes > mShares.mSmallBodies - aBody.mReceived) {
    return false;
  }
  aBody.mParked = aBody.mReceived;
  mParkedBytes += aBody.mParked;
  return true;
}

void
BodyIntake::GiveBack(Body& aBody)
{
  mSmallBytes -= aBody.mSmall;
  mLargeBytes -= aBody.mLarge;
  mParkedBytes -= aBody.mParked;
  aBody.mSmall = 0;
  aBody.mLarge = 0;
  aBody.mParked = 0;
}

void
BodyIntake::SetState(Body& aBody, State aState)
{
  mWaiting -= aBody.mState == State::kWaiting ? 1 : 0;
  mWaiting += aState == State::kWaiting ? 1 : 0;
  aBody.mState = aState;
}

// A body that asks for more gives its room back first, or it would hold up
// those that wait for it.
BodyIntake::State
BodyIntake::Ask(BodyId aId,
                std::size_t aBytes,
                Duration aPatience,
                Instant aNow)
{
  const auto [it, isNew] = mBodies.try_emplace(aId);
  Body& body = it->second;
  mWaiting += isNew ? 1 : 0;
  GiveBack(body);
  body.mWanted = aBytes;
  body.mPatience = aPatience;
  body.mSince = aNow;
  SetState(body,
           TryGrant(body)  ? State::kReading
           : TryPark(body) ? State::kWaiting
                           : State::kRefused);
  return body.mState;
}

void
BodyIntake::Receive(BodyId aId, std::size_t aBytes, Instant aNow)
{
  const auto it = mBodies.find(aId);
  if (it != mBodies.end() && aBytes > it->second.mReceived) {
    it->second.mReceived = aBytes;
    it->second.mReceivedAt = aNow;
  }
}

void
BodyIntake::Complete(BodyId aId, std::size_t aBytes)
{
  const auto it = mBodies.find(aId);
  if (it == mBodies.end()) {
    return;
  }
  Body& body = it->second;
  const std::size_t bytes = HeldBytes(aBytes);
  if (body.mLarge > bytes) {
    mLargeBytes -= body.mLarge - bytes;
    body.mLarge = bytes;
  } else if (body.mSmall > bytes) {
    mSmallBytes -= body.mSmall - bytes;
    body.mSmall = bytes;
  }
  body.mReceived = aBytes;
  body.mIsComplete = true;
}

void
BodyIntake::End(BodyId aId)
{
  const auto it = mBodies.find(aId);
  if (it != mBodies.end()) {
    GiveBack(it->second);
    mWaiting -= it->second.mState == State::kWaiting ? 1 : 0;
    mBodies.erase(it);
  }
}

BodyIntake::State
BodyIntake::StateOf(BodyId aId) const
{
  const auto it = mBodies.find(aId);
  return it == mBodies.end() ? State::kReading : it->second.mState;
}

bool
BodyIntake::IsTooSlow(const Body& aBody, Instant aNow) const
{
  const Duration held = aNow - aBody.mSince;
  if (aBody.mState != State::kReading || aBody.mIsComplete ||
      held <= aBody.mPatience) {
    return false;
  }
  if (aNow - std::max(aBody.mSince, aBody.mReceivedAt) > aBody.mPatience) {
    return true;
  }
  const auto left = static_cast<double>(
    aBody.mWanted - std::min(aBody.mWanted, aBody.mReceived));
  const double pace =
    static_cast<double>(aBody.mReceived) / static_cast<double>(held.count());
  return left > pace * static_cast<double>(aBody.mPatience.count());
}

void
BodyIntake::OnTimer(Instant aNow)
{
  if (mWaiting == 0) {
    return;
  }
  std::vector<Body*> waiting;
  for (auto& [id, body] : mBodies) {
    if (IsTooSlow(body, aNow)) {
      GiveBack(body);
      SetState(body, State::kDropped);
    } else if (body.mState == State::kWaiting) {
      waiting.push_back(&body);
    }
  }
  const auto left = [](const Body* aBody) {
    return aBody->mWanted - std::min(aBody->mWanted, aBody->mReceived);
  };
  std::stable_sort(
    waiting.begin(), waiting.end(), [&](const Body* aOne, const Body* aTwo) {
      return left(aOne) < left(aTwo);
    });
  for (Body* body : waiting) {
    if (TryGrant(*body)) {
      mParkedBytes -= body->mParked;
      body->mParked = 0;
      body->mSince = aNow;
      SetState(*body, State::kReading);
    } else if (aNow - body->mSince > 2 * body->mPatience) {
      SetState(*body, State::kRefused);
    }
  }
}

} // namespace heatherfork::relay
