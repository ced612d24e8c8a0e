#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "heatherfork/detail/relay/node_memory.h"
#include "heatherfork/time.h"

/// Which bodies of requests a node reads, within its memory.
namespace heatherfork::relay {

/// Identifies one request with a body.
using BodyId = std::uint64_t;

/// Grants room for bodies. Contains no I/O; complexity is linear in the bodies
/// that are held only while some wait.
class BodyIntake
{
public:
  enum class State
  {
    kReading, ///< Room is granted.
    kWaiting, ///< Must not be read until room is granted.
    kDropped, ///< Too slow, while others wait.
    kRefused, ///< Has waited too long for room.
  };

  explicit BodyIntake(const MemoryShares& aShares)
    : mShares(aShares)
  {
  }

  /// Registers a request.
  BodyId Begin() { return ++mLastId; }

  /// Asks for room for a body of aBytes in all. aPatience is how long a body
  /// may hold its room unfinished while others wait, and half of the time that
  /// it waits itself.
  State Ask(BodyId aId, std::size_t aBytes, Duration aPatience, Instant aNow);

  /// Records what has arrived in all.
  void Receive(BodyId aId, std::size_t aBytes, Instant aNow);

  /// The body is complete. Keeps room for aBytes until End.
  void Complete(BodyId aId, std::size_t aBytes);

  /// Gives the room back.
  void End(BodyId aId);

  State StateOf(BodyId aId) const;

  /// Grants freed room to those that wait, and drops and refuses.
  void OnTimer(Instant aNow);

  std::size_t SmallBytes() const { return mSmallBytes; }
  std::size_t LargeBytes() const { return mLargeBytes; }
  std::size_t Waiting() const { return mWaiting; }

private:
  struct Body
  {
    State mState = State::kWaiting;
    bool mIsComplete = false;
    std::size_t mSmall = 0; ///< Taken of the part for small bodies.
    std::size_t mLarge = 0;
    std::size_t mParked = 0; ///< Held while it waits.
    std::size_t mWanted = 0;
    std::size_t mReceived = 0;
    Duration mPatience{};
    Instant mSince{};      ///< Of waiting or of holding the room.
    Instant mReceivedAt{}; ///< When bytes arrived last.
  };

  bool TryGrant(Body& aBody);
  bool TryPark(Body& aBody);
  void GiveBack(Body& aBody);
  void SetState(Body& aBody, State aState);
  bool IsTooSlow(const Body& aBody, Instant aNow) const;

  const MemoryShares mShares;
  std::map<BodyId, Body> mBodies;
  std::size_t mSmallBytes = 0;
  std::size_t mLargeBytes = 0;
  std::size_t mParkedBytes = 0; ///< Of those that wait.
  std::size_t mWaiting = 0;
  BodyId mLastId = 0;
};

} // namespace heatherfork::relay
