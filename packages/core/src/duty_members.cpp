#include "heatherfork/duty_members.h"

#include <algorithm>

#include "heatherfork/detail/scheduling/rendezvous.h"

namespace heatherfork {

namespace {

// With fewer entries the loss of one would cut off too many callers at once.
constexpr std::size_t kMinDutyEntries = 8;

bool
IsServing(const Member* aMember)
{
  return !aMember->mCallerAddress.Empty();
}

std::vector<const Member*>
ServingByShare(const Members& aMembers)
{
  std::vector<const Member*> serving;
  for (const Member& member : aMembers) {
    if (member.mStatus == MemberStatus::kAlive && IsServing(&member)) {
      serving.push_back(&member);
    }
  }
  // Equal shares are ordered by hash, which spreads them over the zones.
  std::sort(
    serving.begin(), serving.end(), [](const auto* aOne, const auto* aTwo) {
      if (aOne->mProcessorShare != aTwo->mProcessorShare) {
        return aOne->mProcessorShare > aTwo->mProcessorShare;
      }
      const auto one =
        detail::RendezvousWeight("entry", aOne->mNode.mName.mValue);
      const auto two =
        detail::RendezvousWeight("entry", aTwo->mNode.mName.mValue);
      return one != two ? one > two : aOne->mNode < aTwo->mNode;
    });
  return serving;
}

} // namespace

std::vector<const Member*>
DutyMembers(const Members& aMembers)
{
  std::uint32_t largest = 0;
  for (const Member& member : aMembers) {
    if (member.mStatus == MemberStatus::kAlive) {
      largest = std::max(largest, member.mProcessorShare);
    }
  }
  std::vector<const Member*> duty;
  for (const Member& member : aMembers) {
    if (member.mStatus == MemberStatus::kAlive &&
        member.mProcessorShare >= largest - largest / 2) {
      duty.push_back(&member);
    }
  }
  return duty;
}

std::vector<Address>
EntryAddresses(const Members& aMembers, std::size_t aMaxEntries)
{
  std::vector<const Member*> entries = DutyMembers(aMembers);
  std::erase_if(entries,
                [](const Member* aMember) { return !IsServing(aMember); });
  if (entries.size() < kMinDutyEntries || entries.size() > aMaxEntries) {
    entries = ServingByShare(aMembers);
    entries.resize(std::min(entries.size(), aMaxEntries));
  }
  std::vector<Address> addresses;
  addresses.reserve(entries.size());
  for (const Member* entry : entries) {
    addresses.push_back(entry->mCallerAddress);
  }
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()),
                  addresses.end());
  return addresses;
}

} // namespace heatherfork
