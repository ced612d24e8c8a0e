#include "heatherfork/detail/configuration/leaving_marks.h"
#include "heatherfork/reducer.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const NodeId kNode{ NodeName{ "a" }, 1 };
constexpr Duration kDeadline = Milliseconds(1000);

ConfigurationPtr
ConfigurationWithOneServer(bool aLeaving)
{
  Configuration configuration;
  configuration.mRevision = 1;
  configuration.mClasses = { WorkClass{ ClassName{ "look" } } };
  configuration.mCalls = { ServiceCall{
    ServiceName{ "desk" }, "stock", ClassName{ "look" } } };
  configuration.mWorkspaces = { Workspace{ WorkspaceName{ "t" } } };
  Pool pool;
  pool.mName = PoolName{ "desk" };
  pool.mService = ServiceName{ "desk" };
  pool.mServers = { BackendServer{ ServerName{ "desk-1" },
                                   Address{ "h:1" },
                                   ZoneName{ "z" },
                                   Role::kPlain,
                                   20,
                                   0,
                                   false,
                                   aLeaving } };
  configuration.mPools = { pool };
  return std::make_shared<const Configuration>(configuration);
}

VmListRead
VmListWith(const std::string& aName, VmRole aRole, bool aLeaving)
{
  return VmListRead{ { VmRecord{
    aName, Address{}, ZoneName{ "z" }, aRole, aLeaving } } };
}

/// A VM list, the published leaving flag, and whether desk-1 must be called.
struct Row
{
  VmListRead mList;
  bool mPublishedLeaving;
  bool mShouldCallServer;
};

bool
HasServerCall(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (std::holds_alternative<CallServer>(effect)) {
      return true;
    }
  }
  return false;
}

bool
CallsServerForRequest(const Row& aRow)
{
  Reducer reducer(NodeSettings{ kNode });
  Instant now{ Milliseconds(1000000) };
  reducer.Reduce({ now, TimerFired{} });
  reducer.Reduce({ now,
                   ConfigurationChecked{
                     ConfigurationWithOneServer(aRow.mPublishedLeaving) } });
  reducer.Reduce({ now, aRow.mList });
  Request request;
  request.mWorkspace = WorkspaceName{ "t" };
  request.mKind = RequestKind::kPlainCall;
  request.mService = ServiceName{ "desk" };
  request.mCall = "stock";
  request.mClass = ClassName{ "look" };
  request.mDeadline = now + kDeadline;
  Effects effects = reducer.Reduce({ now, CallerRequested{ 1, request } });
  now += Milliseconds(50);
  const Effects timerEffects = reducer.Reduce({ now, TimerFired{} });
  return HasServerCall(effects) || HasServerCall(timerEffects);
}

} // namespace

TEST_GROUP(LeavingMarks){};

TEST(LeavingMarks, SendsWorkOnlyToServersNotMarkedLeaving)
{
  const std::vector<Row> rows{
    { VmListWith("desk-1", VmRole::kBackend, false), false, true },
    { VmListWith("desk-1", VmRole::kBackend, true), false, false },
    { VmListWith("desk-1", VmRole::kEntry, true), false, true },
    { VmListWith("desk-2", VmRole::kBackend, true), false, true },
    { VmListWith("desk-1", VmRole::kBackend, false), true, false },
    { VmListRead{}, false, true },
  };
  for (std::size_t n = 0; n < rows.size(); ++n) {
    CHECK_EQUAL_TEXT(rows[n].mShouldCallServer,
                     CallsServerForRequest(rows[n]),
                     ("row " + std::to_string(n)).c_str());
  }
}

TEST(LeavingMarks, RemovedMarkRestoresPublishedState)
{
  detail::LeavingMarks marks;
  const ConfigurationPtr published = ConfigurationWithOneServer(false);
  CHECK(marks.On(VmListWith("desk-1", VmRole::kBackend, true)));
  CHECK(marks.Apply(published)->mPools[0].mServers[0].mLeaving);
  CHECK_FALSE(marks.On(VmListWith("desk-1", VmRole::kBackend, true)));
  CHECK(marks.On(VmListWith("desk-1", VmRole::kBackend, false)));
  CHECK(marks.Apply(published) == published);
}
