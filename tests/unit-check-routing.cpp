#include <functional>
#include <string>
#include <vector>

#include "heatherfork/detail/relay/check_routing.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

namespace {

using Kind = RoutingFinding::Kind;

Routing
SoundRouting()
{
  Routing routing;
  routing.mRevision = 3;
  Route route;
  route.mName = "r-1";
  route.mHost = "h.example";
  route.mPrefix = "/a/";
  route.mRepeat = RepeatRule::kMayRepeat;
  route.mTimeout = Milliseconds(4000);
  route.mTarget = Milliseconds(900);
  route.mMaxAttempts = 2;
  route.mShares = { { ServiceName{ "desk" }, 1 } };
  routing.mRoutes.push_back(route);
  route.mName = "r-2";
  route.mPrefix = "/b/";
  route.mIsStream = true;
  route.mIsResumable = true;
  route.mRepeat = RepeatRule::kMustNotRepeat;
  route.mGapTarget = Milliseconds(300);
  route.mShares = { { ServiceName{ "llm" }, 3 }, { ServiceName{ "desk" }, 1 } };
  routing.mRoutes.push_back(route);
  routing.mServices = { { ServiceName{ "desk" }, 100, false, 0 },
                        { ServiceName{ "llm" }, 50, true, 42606 } };
  routing.mNeedsKeys = true;
  routing.mWorkspaces = {
    { WorkspaceName{ "w-1" }, { "d1", "d2" }, {}, {} },
    { WorkspaceName{ "w-2" }, { "d3" }, 1, { QuotaUnit::kTokens, 50, 400, 40 } }
  };
  return routing;
}

struct CheckRow
{
  std::function<void(Routing&)> mChange;
  std::vector<RoutingFinding> mFindings;
};

const CheckRow kCheckRows[] = {
  { [](Routing&) {}, {} },
  // Routes that never match.
  { [](Routing& aIt) { aIt.mRoutes[1].mPrefix = "/a/"; },
    { { Kind::kError,
        R"(route "r-1": never matches: route "r-2" has its host and prefix)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mPrefix = "/a"; },
    { { Kind::kError,
        R"(route "r-1": never matches: its prefix "/a" does not begin and end with a slash)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mHost = ""; },
    { { Kind::kError, R"(route "r-1": never matches: its host is empty)" } } },
  // Names.
  { [](Routing& aIt) { aIt.mRoutes[1].mName = "r-1"; },
    { { Kind::kError, R"(route "r-1": its name is used twice)" } } },
  { [](Routing& aIt) { aIt.mServices[0].mName.mValue = "llm"; },
    { { Kind::kError, R"(service "llm": its name is used twice)" },
      { Kind::kError, R"(route "r-1": service "desk" does not exist)" },
      { Kind::kError, R"(route "r-2": service "desk" does not exist)" } } },
  { [](Routing& aIt) { aIt.mWorkspaces[1].mName.mValue = "w-1"; },
    { { Kind::kError, R"(workspace "w-1": its name is used twice)" } } },
  // Services and weights.
  { [](Routing& aIt) { aIt.mRoutes.pop_back(); },
    { { Kind::kWarning, R"(service "llm": no route refers to it)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mShares[0].mWeight = 0; },
    { { Kind::kError, R"(route "r-1": all its services have weight 0)" } } },
  { [](Routing& aIt) { aIt.mRoutes[1].mShares[1].mWeight = 0; },
    { { Kind::kWarning,
        R"(route "r-2": service "desk" gets no requests, with weight 0)" } } },
  { [](Routing& aIt) { aIt.mRoutes[1].mShares[1].mWeight = -2; },
    { { Kind::kError,
        R"(route "r-2": weight -2 of service "desk" is below 0)" } } },
  { [](Routing& aIt) {
     aIt.mRoutes[1].mShares.push_back({ ServiceName{ "llm" }, 1 });
   },
    { { Kind::kWarning, R"(route "r-2": service "llm" is listed twice)" } } },
  { [](Routing& aIt) { aIt.mServices[0].mMaxConnections = 0; },
    { { Kind::kError,
        R"(service "desk": its replicas may have 0 connections)" } } },
  { [](Routing& aIt) { aIt.mServices[1].mTokenCapacity = 0; },
    { { Kind::kError,
        R"(service "llm": its engines have room for 0 tokens)" } } },
  // Times and attempts.
  { [](Routing& aIt) { aIt.mRoutes[0].mTimeout = {}; },
    { { Kind::kError, R"(route "r-1": its timeout is 0 ms)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mTarget = Milliseconds(5000); },
    { { Kind::kWarning,
        R"(route "r-1": target of 5000 ms exceeds the timeout of 4000 ms)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mTarget = Milliseconds(4000); }, {} },
  { [](Routing& aIt) { aIt.mRoutes[1].mGapTarget = Milliseconds(4001); },
    { { Kind::kWarning,
        R"(route "r-2": target of 4001 ms between events exceeds the timeout of 4000 ms)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mGapTarget = Milliseconds(300); },
    { { Kind::kWarning,
        R"(route "r-1": a target between events has no effect: it is no stream)" } } },
  { [](Routing& aIt) { aIt.mRoutes[1].mIsResumable = false; },
    { { Kind::kWarning,
        R"(route "r-2": 2 attempts contradict a stream that can't be resumed)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mRepeat = RepeatRule::kMustNotRepeat; },
    { { Kind::kWarning,
        R"(route "r-1": 2 attempts contradict requests that must not run twice)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mMaxAttempts = 0; },
    { { Kind::kError, R"(route "r-1": 0 attempts run no request)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mIsResumable = true; },
    { { Kind::kWarning,
        R"(route "r-1": to resume has no effect: it is no stream)" } } },
  { [](Routing& aIt) { aIt.mRoutes[0].mRank = -1; },
    { { Kind::kError, R"(route "r-1": its priority -1 is below 0)" } } },
  // Workspaces.
  { [](Routing& aIt) { aIt.mWorkspaces[1].mKeyDigests = { "d2" }; },
    { { Kind::kError,
        R"(workspace "w-2": a key is also a key of workspace "w-1")" } } },
  { [](Routing& aIt) {
     aIt.mWorkspaces[0].mKeyDigests = { "d1", "d1" };
   },
    { { Kind::kWarning, R"(workspace "w-1": a key is listed twice)" } } },
  { [](Routing& aIt) { aIt.mWorkspaces[0].mKeyDigests.clear(); },
    { { Kind::kWarning,
        R"(workspace "w-1": without keys nobody can use it)" } } },
  { [](Routing& aIt) { aIt.mWorkspaces.clear(); },
    { { Kind::kError,
        "workspaces: keys are needed, but there is no workspace" } } },
  { [](Routing& aIt) { aIt.mWorkspaces[1].mRank = -3; },
    { { Kind::kError, R"(workspace "w-2": its priority -3 is below 0)" } } },
  { [](Routing& aIt) { aIt.mWorkspaces[1].mQuota.mBurst = 39.5; },
    { { Kind::kWarning,
        R"(workspace "w-2": a burst of 39.5 tokens is less than one request, which counts as 40)" } } },
  { [](Routing& aIt) { aIt.mWorkspaces[0].mQuota.mRate = 5; },
    { { Kind::kWarning,
        R"(workspace "w-1": a burst of 0 is less than one request)" } } },
  { [](Routing& aIt) { aIt.mWorkspaces[1].mQuota.mRate = 0; },
    { { Kind::kWarning,
        R"(workspace "w-2": a burst of 400 has no effect: its rate is 0, so no limit)" } } },
  { [](Routing& aIt) { aIt.mWorkspaces[1].mQuota.mRate = -1; },
    { { Kind::kError, R"(workspace "w-2": its quota is below 0)" } } },
  // Limits.
  { [](Routing& aIt) { aIt.mLimits.mMaxHeaderBytes = 0; },
    { { Kind::kError,
        "limits: heads of at most 0 bytes refuse every request" } } },
  { [](Routing& aIt) { aIt.mLimits.mMaxBodyBytes = 0; },
    { { Kind::kWarning,
        "limits: bodies of at most 0 bytes refuse every request with one" } } },
  { [](Routing& aIt) { aIt.mLimits.mHeaderTimeout = {}; },
    { { Kind::kError,
        "limits: a timeout of 0 ms for heads refuses every request" } } },
  { [](Routing& aIt) { aIt.mLimits.mIdleTimeout = {}; },
    { { Kind::kWarning,
        "limits: an idle timeout of 0 ms closes every kept connection" } } },
  { [](Routing& aIt) { aIt.mLimits.mHeaderTimeout = Milliseconds(20000); },
    { { Kind::kWarning,
        "limits: timeout of 20000 ms for heads exceeds the idle timeout of "
        "15000 ms" } } },
};

struct ChangeRow
{
  std::function<void(Routing&)> mChange;
  std::vector<std::string> mTexts;
};

const ChangeRow kChangeRows[] = {
  { [](Routing& aIt) { ++aIt.mRevision; }, {} },
  { [](Routing& aIt) { aIt.mRoutes[0].mTimeout = Milliseconds(5000); },
    { R"(route "r-1": timeout 4000 ms -> 5000 ms)" } },
  { [](Routing& aIt) { aIt.mRoutes[1].mName = "r-3"; },
    { R"(route "r-2": removed)", R"(route "r-3": added)" } },
  { [](Routing& aIt) { std::swap(aIt.mRoutes[0], aIt.mRoutes[1]); }, {} },
  { [](Routing& aIt) { aIt.mRoutes[1].mShares[0].mWeight = 1; },
    { R"(route "r-2": services llm*3 desk*1 -> llm*1 desk*1)" } },
  { [](Routing& aIt) { aIt.mServices[1].mTokenCapacity = 5; },
    { R"(service "llm": tokens 42606 -> 5)" } },
  { [](Routing& aIt) {
     aIt.mWorkspaces[0].mKeyDigests = { "d2", "d4" };
   },
    { R"(workspace "w-1": 1 keys added, 1 removed)" } },
  { [](Routing& aIt) {
     aIt.mWorkspaces[1].mRank.reset();
     aIt.mWorkspaces[1].mQuota.mRate = 2.5;
   },
    { R"(workspace "w-2": priority 1 -> the route's)",
      R"(workspace "w-2": quota rate 50 -> 2.5)" } },
  { [](Routing& aIt) { aIt.mNeedsKeys = false; },
    { "workspaces: keys needed yes -> no" } },
  { [](Routing& aIt) { aIt.mLimits.mMaxBodyBytes = 1000; },
    { "limits: body bytes 4194304 -> 1000" } },
};

std::string
Joined(const std::vector<std::string>& aTexts)
{
  std::string text;
  for (const std::string& line : aTexts) {
    text += line + "\n";
  }
  return text;
}

std::string
Joined(const RoutingFindings& aFindings)
{
  std::string text;
  for (const RoutingFinding& finding : aFindings) {
    text += (finding.mKind == Kind::kError ? "error: " : "warning: ") +
            finding.mText + "\n";
  }
  return text;
}

} // namespace

TEST_GROUP(CheckRouting){};

TEST(CheckRouting, FindsEachFault)
{
  for (const CheckRow& row : kCheckRows) {
    Routing routing = SoundRouting();
    row.mChange(routing);
    STRCMP_EQUAL(Joined(row.mFindings).c_str(),
                 Joined(CheckRouting(routing)).c_str());
  }
}

TEST(CheckRouting, DescribesEachChange)
{
  for (const ChangeRow& row : kChangeRows) {
    Routing next = SoundRouting();
    row.mChange(next);
    STRCMP_EQUAL(Joined(row.mTexts).c_str(),
                 Joined(DescribeRoutingChange(SoundRouting(), next)).c_str());
  }
}

TEST(CheckRouting, KeysAreNeverPrinted)
{
  Routing before = SoundRouting();
  before.mWorkspaces[0].mKeyDigests = { "digest-of-a-key" };
  Routing after = SoundRouting();
  after.mWorkspaces[0].mKeyDigests = { "digest-of-another" };
  after.mWorkspaces[1].mKeyDigests = { "digest-of-another" };
  const std::string text =
    Joined(DescribeRoutingChange(before, after)) + Joined(CheckRouting(after));
  CHECK(text.find("digest-of") == std::string::npos);
  CHECK(!text.empty());
}
