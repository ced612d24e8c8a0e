#include "heatherfork/detail/relay/node_memory.h"

#include <algorithm>

#include <malloc.h>

namespace heatherfork::relay {

namespace {

// Program, routing, replicas, peers, answers of the store, log.
constexpr std::size_t kProcessBytes = std::size_t{ 24 } << 20;

// Machines with hardly more than the process needs still serve.
constexpr std::size_t kLeastPart = 4;

// Not for sockets.
constexpr std::size_t kReservedDescriptors = 200;

// Parts of the rest. One quarter is left for heads, for the input and output of
// connections, and for the allocator.
constexpr std::size_t kSmallBodiesDivisor = 8;
constexpr std::size_t kAnswersDivisor = 4;

// Larger blocks are mapped one by one, so that only the pages in use count, and
// are returned when they are freed.
constexpr int kMappedBlockBytes = 256 << 10;

// Free memory at the end of the heap that is kept for the next requests.
constexpr int kKeptFreeBytes = 2 << 20;

} // namespace

MemoryShares
DivideMemory(std::size_t aMachineBytes)
{
  const std::size_t least = aMachineBytes / kLeastPart;
  const std::size_t rest = aMachineBytes > kProcessBytes + least
                             ? aMachineBytes - kProcessBytes
                             : least;
  MemoryShares shares;
  shares.mSmallBodies = rest / kSmallBodiesDivisor;
  shares.mLargeBodies = 3 * shares.mSmallBodies;
  shares.mAnswers = rest / kAnswersDivisor;
  return shares;
}

// Half of them, as each connection of a caller may need another one to a
// replica. The loop doesn't have those of the store's copies and of peers,
// which are few.
std::size_t
MaxLoopDescriptors(std::size_t aProcessDescriptors)
{
  return (aProcessDescriptors -
          std::min(aProcessDescriptors, kReservedDescriptors)) /
         2;
}

void
SetUpAllocator()
{
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptFreeBytes);
}

} // namespace heatherfork::relay
