#pragma once

#include <compare>
#include <cstddef>

/// How the memory and the descriptors of a node's machine are divided.
namespace heatherfork::relay {

/// Bodies up to this size are small: they have a part of the memory of their
/// own, and are copied into the text of the replica's call.
inline constexpr std::size_t kMaxSmallBodyBytes = std::size_t{ 64 } << 10;

/// Sizes of the parts.
struct MemoryShares
{
  std::size_t mSmallBodies = 0;
  std::size_t mLargeBodies = 0;
  std::size_t mAnswers = 0;

  auto operator<=>(const MemoryShares&) const = default;
};

/// Divides the memory of a machine.
MemoryShares
DivideMemory(std::size_t aMachineBytes);

/// Descriptors above which an event loop keeps no idle connections, of those
/// that the process may have.
std::size_t
MaxLoopDescriptors(std::size_t aProcessDescriptors);

/// Lets the allocator return freed bodies to the system.
void
SetUpAllocator();

} // namespace heatherfork::relay
