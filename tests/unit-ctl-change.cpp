#include <string>

#include "heatherfork/ctl/change.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

Configuration
BaseConfiguration()
{
  Configuration configuration;
  configuration.mRevision = 1;
  configuration.mClasses = {
    { { "summary" }, true, false, Milliseconds(9), 1 }
  };
  configuration.mModels = {
    { { "clerk" }, { "v1" }, { { "venue" } }, { "summary" }, { "v2" }, 5 }
  };
  configuration.mPools = {
    { { "clerk" },
      { "clerk" },
      {},
      1,
      0,
      { { { "p1" }, { "10.0.0.1:80" }, { "north" }, Role::kPrefill, 4, 8 } } },
    { { "desk" },
      {},
      { "booking" },
      0,
      0,
      { { { "b1" }, { "10.0.0.2:80" }, { "south" }, Role::kPlain, 50 } } },
  };
  configuration.mCalls = { { { "booking" }, "stock", { "summary" } } };
  configuration.mWorkspaces = { { { "parish" }, "aa", 40, 2 } };
  return configuration;
}

/// An edit of the configuration and the expected lines after the revision.
struct EditCase
{
  void (*mEdit)(Configuration& aConfiguration);
  const char* mExpectedLines;
};

std::string
DescribeEdit(void (*aEdit)(Configuration&))
{
  Configuration after = BaseConfiguration();
  after.mRevision = 2;
  aEdit(after);
  std::string lines;
  for (const ctl::Change& change :
       ctl::DescribeChange(BaseConfiguration(), after)) {
    lines += change.mIsLoss ? "! " : "  ";
    lines += change.mText + "\n";
  }
  return lines;
}

void
CheckCases(const EditCase* aCases, std::size_t aCount)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    const std::string expected = "  revision: changes from 1 to 2\n" +
                                 std::string(aCases[n].mExpectedLines);
    STRCMP_EQUAL(expected.c_str(), DescribeEdit(aCases[n].mEdit).c_str());
  }
}

} // namespace

TEST_GROUP(Change){};

TEST(Change, ReportsNoChangeForEqualConfigurations)
{
  CHECK(ctl::DescribeChange(BaseConfiguration(), BaseConfiguration()).empty());
}

TEST(Change, ReportsRevisionThatDoesNotRiseAsLoss)
{
  STRCMP_EQUAL(
    "! revision 0 is not above 1: nodes don't take it\n",
    DescribeEdit([](Configuration& aNew) { aNew.mRevision = 0; }).c_str());
}

TEST_GROUP_BASE(ChangeOfServers, Utest){};

TEST(ChangeOfServers, DescribesEachEdit)
{
  constexpr EditCase kCases[] = {
    { [](Configuration& aNew) { aNew.mPools[0].mServers[0].mLeaving = true; },
      "! server p1 (pool clerk, prefill, zone north) leaves: it gets no new "
      "work\n" },
    { [](Configuration& aNew) { aNew.mPools[1].mServers.clear(); },
      "! server b1 (pool desk, plain, zone south) goes without having been "
      "marked as leaving\n" },
    { [](Configuration& aNew) {
       aNew.mPools[0].mServers[0].mRole = Role::kDecode;
       aNew.mPools[0].mServers[0].mSlots = 20;
       aNew.mPools[0].mServers[0].mChecksFencing = true;
     },
      "  server p1 (pool clerk, decode, zone north): role from prefill to "
      "decode\n"
      "  server p1 (pool clerk, decode, zone north): slots from 4 to 20\n"
      "  server p1 (pool clerk, decode, zone north): checks fencing "
      "numbers\n" },
    { [](Configuration& aNew) {
       aNew.mPools[0].mServers[0].mName.mValue = "p2";
       aNew.mPools[0].mMinimumPrefill = 0;
     },
      "! server p1 (pool clerk, prefill, zone north) goes without having been "
      "marked as leaving\n"
      "  server p2 (pool clerk, prefill, zone north) is new\n"
      "  pool clerk: minimum_prefill from 1 to 0\n" },
    { [](Configuration& aNew) { aNew.mPools.pop_back(); },
      "! server b1 (pool desk, plain, zone south) goes without having been "
      "marked as leaving\n"
      "! pool desk goes: it served service booking\n" },
  };
  CheckCases(kCases, std::size(kCases));
}

TEST_GROUP_BASE(ChangeOfRules, Utest){};

TEST(ChangeOfRules, DescribesEachEdit)
{
  constexpr EditCase kCases[] = {
    { [](Configuration& aNew) { aNew.mWorkspaces.clear(); },
      "! tenant parish loses access: its requests are refused\n" },
    { [](Configuration& aNew) {
       aNew.mWorkspaces[0].mKeyDigest = "bb";
       aNew.mWorkspaces[0].mMaxInFlight = 10;
     },
      "! tenant parish gets another key: the old one is refused\n"
      "  tenant parish: max_in_flight from 40 to 10\n" },
    { [](Configuration& aNew) { aNew.mModels[0].mNextShare = 50; },
      "  model clerk: next version v2: share_percent from 5 to 50\n" },
    { [](Configuration& aNew) {
       aNew.mModels[0].mVersion.mValue = "v2";
       aNew.mModels[0].mNextVersion.mValue = "";
     },
      "  model clerk: version from v1 to v2\n" },
    { [](Configuration& aNew) {
       aNew.mModels[0].mNextVersion.mValue = "v3";
       aNew.mModels[0].mAdapters = { { "hall" } };
     },
      "! model clerk: next version v2 is withdrawn\n"
      "  model clerk: next version v3 gets 5 percent of the traffic\n"
      "  model clerk: adapter hall is new\n"
      "! model clerk: adapter venue goes: requests for it are refused\n" },
    { [](Configuration& aNew) { aNew.mCalls[0].mCall = "reserve"; },
      "  call booking/reserve is new, class summary\n"
      "! call booking/stock goes: requests for it are refused\n" },
    { [](Configuration& aNew) {
       aNew.mClasses[0].mMayWait = false;
       aNew.mClasses[0].mPriority = 3;
       aNew.mLimits.mMaxQueued = 5;
     },
      "  class summary: may wait no longer\n"
      "  class summary: priority from 1 to 3\n"
      "  limits: max_queued from 10000 to 5\n" },
  };
  CheckCases(kCases, std::size(kCases));
}
