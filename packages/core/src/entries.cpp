#include "heatherfork/entries.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace heatherfork {

namespace {

using Zones = std::map<ZoneName, Members>;

Zones
AliveByZone(const Members& aMembers, std::mt19937_64& aRandom)
{
  Zones zones;
  for (const Member& member : aMembers) {
    if (member.mStatus == MemberStatus::kAlive &&
        !member.mCallerAddress.Empty()) {
      zones[member.mZone].push_back(member);
    }
  }
  for (auto& [zone, members] : zones) {
    std::shuffle(members.begin(), members.end(), aRandom);
  }
  return zones;
}

std::size_t
CountNodes(const Zones& aZones)
{
  std::size_t count = 0;
  for (const auto& [zone, members] : aZones) {
    count += members.size();
  }
  return count;
}

// A random number in [0, aBelow).
std::size_t
RandomBelow(std::size_t aBelow, std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(aRandom);
}

// Chooses the zone of the first entry so that all nodes get equal load,
// although zones have equal numbers of callers and unequal numbers of nodes. A
// zone with fewer nodes than the mean keeps the callers that its nodes can
// take. The others go to zones with a surplus, in proportion to it. The unit
// is one node's callers divided by the number of zones.
ZoneName
ChooseFirstZone(const Zones& aZones,
                const ZoneName& aNearest,
                std::mt19937_64& aRandom)
{
  const std::size_t nodes = CountNodes(aZones);
  const auto nearest = aZones.find(aNearest);
  if (nearest == aZones.end()) {
    std::size_t at = RandomBelow(nodes, aRandom);
    for (const auto& [zone, members] : aZones) {
      if (at < members.size()) {
        return zone;
      }
      at -= members.size();
    }
  }
  const std::size_t capacity = nearest->second.size() * aZones.size();
  if (RandomBelow(nodes, aRandom) < capacity) {
    return aNearest;
  }
  std::size_t surplus = 0;
  for (const auto& [zone, members] : aZones) {
    surplus += std::max(members.size() * aZones.size(), nodes) - nodes;
  }
  std::size_t at = RandomBelow(surplus, aRandom);
  for (const auto& [zone, members] : aZones) {
    const std::size_t zoneSurplus =
      std::max(members.size() * aZones.size(), nodes) - nodes;
    if (at < zoneSurplus) {
      return zone;
    }
    at -= zoneSurplus;
  }
  return aNearest;
}

std::vector<ZoneName>
ShuffledZones(const Zones& aZones,
              const ZoneName& aFirst,
              std::mt19937_64& aRandom)
{
  std::vector<ZoneName> order;
  for (const auto& [zone, members] : aZones) {
    if (zone != aFirst) {
      order.push_back(zone);
    }
  }
  std::shuffle(order.begin(), order.end(), aRandom);
  order.insert(order.begin(), aFirst);
  return order;
}

// Takes nodes from the zones in rotation, so that the caller keeps most of its
// entries if one zone fails.
Members
TakeRoundRobin(const Zones& aZones,
               const std::vector<ZoneName>& aOrder,
               std::size_t aMaxNodes)
{
  Members taken;
  for (std::size_t round = 0; taken.size() < aMaxNodes; ++round) {
    const std::size_t before = taken.size();
    for (const ZoneName& zone : aOrder) {
      const Members& members = aZones.at(zone);
      if (round < members.size() && taken.size() < aMaxNodes) {
        taken.push_back(members[round]);
      }
    }
    if (taken.size() == before) {
      break;
    }
  }
  return taken;
}

} // namespace

Entries
EntriesFor(const Members& aMembers,
           const Configuration& aConfiguration,
           const EntriesQuery& aQuery)
{
  Entries entries{ aConfiguration.mRevision,
                   aConfiguration.mLimits.mEntriesValidity };
  std::mt19937_64 random(aQuery.mSeed);
  const Zones zones = AliveByZone(aMembers, random);
  if (zones.empty() || aQuery.mMaxEntries == 0) {
    return entries;
  }
  const ZoneName first = ChooseFirstZone(zones, aQuery.mZone, random);
  entries.mNodes = TakeRoundRobin(
    zones, ShuffledZones(zones, first, random), aQuery.mMaxEntries);
  std::stable_partition(
    entries.mNodes.begin() + 1, entries.mNodes.end(), [&](const Member& aNode) {
      return aNode.mZone == aQuery.mZone;
    });
  return entries;
}

} // namespace heatherfork
