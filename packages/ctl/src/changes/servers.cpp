#include <cstdlib>

#include "heatherfork/ctl/detail/change_list.h"

namespace heatherfork::ctl::detail {

namespace {

/// A backend server and the name of its pool.
struct PooledServer
{
  BackendServer mServer;
  std::string mPool;
};

std::string
NameOf(Role aRole)
{
  switch (aRole) {
    case Role::kPrefill:
      return "prefill";
    case Role::kDecode:
      return "decode";
    case Role::kPlain:
      return "plain";
  }
  std::abort();
}

std::vector<PooledServer>
AllServers(const Configuration& aConfiguration)
{
  std::vector<PooledServer> servers;
  for (const Pool& pool : aConfiguration.mPools) {
    for (const BackendServer& server : pool.mServers) {
      servers.push_back(PooledServer{ server, pool.mName.mValue });
    }
  }
  return servers;
}

/// Returns a text such as "server d1 (pool clerk, decode, zone north)".
std::string
SubjectOf(const PooledServer& aServer)
{
  return Concat("server ",
                aServer.mServer.mName.mValue,
                " (pool ",
                aServer.mPool,
                ", ",
                NameOf(aServer.mServer.mRole),
                ", zone ",
                aServer.mServer.mZone.mValue,
                ")");
}

void
DescribeLeaving(const std::string& aSubject,
                const BackendServer& aOld,
                const BackendServer& aNew,
                ChangeList& aChanges)
{
  if (!aOld.mLeaving && aNew.mLeaving) {
    aChanges.AddLoss(aSubject + " leaves: it gets no new work");
  }
  if (aOld.mLeaving && !aNew.mLeaving) {
    aChanges.Add(aSubject + " stays: it gets new work again");
  }
}

void
DescribeServer(const PooledServer& aOld,
               const PooledServer& aNew,
               ChangeList& aChanges)
{
  const std::string subject = SubjectOf(aNew);
  const BackendServer& before = aOld.mServer;
  const BackendServer& after = aNew.mServer;
  DescribeLeaving(subject, before, after, aChanges);
  aChanges.AddField(subject, "pool", aOld.mPool, aNew.mPool);
  aChanges.AddField(subject, "role", NameOf(before.mRole), NameOf(after.mRole));
  aChanges.AddField(
    subject, "address", before.mAddress.mValue, after.mAddress.mValue);
  aChanges.AddField(subject, "zone", before.mZone.mValue, after.mZone.mValue);
  aChanges.AddField(subject, "slots", before.mSlots, after.mSlots);
  aChanges.AddField(subject, "pieces", before.mPieces, after.mPieces);
  aChanges.AddFlag(subject,
                   "checks fencing numbers",
                   before.mChecksFencing,
                   after.mChecksFencing);
}

void
DescribeRemoval(const PooledServer& aServer, ChangeList& aChanges)
{
  const std::string subject = SubjectOf(aServer);
  if (aServer.mServer.mLeaving) {
    aChanges.Add(subject + " goes, after it was marked as leaving");
    return;
  }
  aChanges.AddLoss(subject + " goes without having been marked as leaving");
}

} // namespace

void
DescribeServers(const Configuration& aOld,
                const Configuration& aNew,
                ChangeList& aChanges)
{
  const auto before = AllServers(aOld);
  const auto after = AllServers(aNew);
  const auto pairs = PairUp(before, after, [](const PooledServer& aServer) {
    return aServer.mServer.mName.mValue;
  });
  for (const auto& [name, pair] : pairs) {
    if (pair.mNew == nullptr) {
      DescribeRemoval(*pair.mOld, aChanges);
    } else if (pair.mOld == nullptr) {
      aChanges.Add(SubjectOf(*pair.mNew) + " is new");
    } else {
      DescribeServer(*pair.mOld, *pair.mNew, aChanges);
    }
  }
}

} // namespace heatherfork::ctl::detail
