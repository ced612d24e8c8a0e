#pragma once

#include <vector>

#include "heatherfork/member.h"

/// Members that work for the whole fleet.
namespace heatherfork {

/// The alive members that schedule, read the store and take callers: those with
/// at least half of the largest processor share. All alive members if no share
/// is known. Ordered by name.
std::vector<const Member*>
DutyMembers(const Members& aMembers);

/// Addresses for callers: of the duty members that serve, or, when these are
/// few, of the serving members with the largest shares. At most aMaxEntries.
std::vector<Address>
EntryAddresses(const Members& aMembers, std::size_t aMaxEntries);

} // namespace heatherfork
