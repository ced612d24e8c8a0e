#include "heatherfork/detail/configuration/watch_turn.h"

#include <cstdint>
#include <string>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace heatherfork::detail {

namespace {

std::uint64_t
HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

// Clocks differ slightly between nodes, so a zone can briefly have two
// watchers or none when the slot changes. The watchers of other zones cover
// that time, because each zone's slots are shifted by its own offset.
std::int64_t
TimeSlot(const ZoneName& aZone, Instant aNow, Duration aSlot)
{
  const auto length = static_cast<std::uint64_t>(aSlot.count());
  const auto offset = static_cast<std::int64_t>(HashOf(aZone.mValue) % length);
  return (aNow.time_since_epoch().count() + offset) / aSlot.count();
}

} // namespace

bool
IsWatcher(const Members& aMembers,
          const NodeId& aNode,
          Instant aNow,
          Duration aSlot)
{
  const Member* node = FindMember(aMembers, aNode);
  if (!node) {
    return false;
  }
  const std::int64_t slot = TimeSlot(node->mZone, aNow, aSlot);
  const NodeId* watcher = nullptr;
  std::uint64_t watcherWeight = 0;
  for (const Member& member : aMembers) {
    const bool isAlive = member.mStatus == MemberStatus::kAlive ||
                         member.mStatus == MemberStatus::kLeaving;
    if (!isAlive || member.mZone != node->mZone) {
      continue;
    }
    const std::uint64_t weight =
      HashOf(absl::StrCat(member.mNode.mName.mValue, "/", slot));
    if (!watcher || weight > watcherWeight) {
      watcher = &member.mNode;
      watcherWeight = weight;
    }
  }
  return watcher && *watcher == aNode;
}

} // namespace heatherfork::detail
