#include "scheduler_fixture.h"

#include <algorithm>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

constexpr Duration kWork = Milliseconds(400);
constexpr Duration kTimeLeft = Milliseconds(4000);
constexpr int kSlots = 4; ///< All servers serve ten requests a second.

/// Requests of one workspace and what became of them.
struct Count
{
  int mSent = 0;
  int mPlaced = 0;
  Duration mMostWait{};
};

Configuration
MakePlainConfiguration(const std::map<std::string, int>& aWeights)
{
  Configuration configuration = MakeConfiguration(0, 0, 0);
  Pool& pool = configuration.mPools.front();
  pool.mModel = {};
  pool.mService = ServiceName{ "desk" };
  pool.mServers = { MakeServer("s", Role::kPlain, kSlots, 0) };
  for (const auto& [name, weight] : aWeights) {
    Workspace workspace;
    workspace.mName.mValue = name;
    workspace.mWeight = weight;
    configuration.mWorkspaces.push_back(workspace);
  }
  return configuration;
}

/// Plain calls of workspaces to one server, each at an even rate.
class SharedLoad
{
public:
  explicit SharedLoad(const std::map<std::string, int>& aWeights)
    : mFixture(MakePlainConfiguration(aWeights))
  {
  }

  std::map<std::string, Count> Run(const std::map<std::string, int>& aPerSecond,
                                   Duration aDuration)
  {
    for (int ms = 0; ms < ToMilliseconds(aDuration); ++ms) {
      for (const auto& [name, rate] : aPerSecond) {
        if (ms * rate / 1000 != (ms + 1) * rate / 1000) {
          Send(name);
        }
      }
      Step();
    }
    return mCounts;
  }

private:
  void Send(const std::string& aWorkspace)
  {
    PlaceRequest place;
    place.mAttempt = AttemptId{ 7, ++mLast };
    place.mKind = RequestKind::kPlainCall;
    place.mService = ServiceName{ "desk" };
    place.mWorkspace.mValue = aWorkspace;
    place.mDeadline = mFixture.mNow + kTimeLeft;
    place.mTarget = Milliseconds(900);
    place.mContentFingerprint = mLast;
    mOpen[mLast] = { aWorkspace, mFixture.mNow };
    ++mCounts[aWorkspace].mSent;
    mFixture.Send(place);
    Collect();
  }

  void Step()
  {
    mFixture.mNow += Milliseconds(1);
    while (!mEnds.empty() && mEnds.begin()->first <= mFixture.mNow) {
      const std::uint64_t number = mEnds.begin()->second;
      mEnds.erase(mEnds.begin());
      mFixture.Send(PlacementEnded{
        AttemptId{ 7, number }, PlacementResult::kDone, {}, kWork, 0 });
      Collect();
    }
    if ((mFixture.mNow - kStart) % Milliseconds(20) == Duration{}) {
      mFixture.Tick(Duration{});
      Collect();
    }
  }

  void Collect()
  {
    for (const Effect& effect : mFixture.mEffects) {
      const auto* sent = std::get_if<SendToPeer>(&effect);
      const auto* placed =
        sent == nullptr ? nullptr : std::get_if<Placed>(&sent->mMessage);
      if (placed != nullptr) {
        const std::uint64_t number = placed->mAttempt.mSequence;
        mEnds.emplace(mFixture.mNow + kWork, number);
        const auto& [name, sentAt] = mOpen.at(number);
        Count& count = mCounts[name];
        ++count.mPlaced;
        count.mMostWait = std::max(count.mMostWait, mFixture.mNow - sentAt);
      }
    }
    mFixture.mEffects.clear();
  }

  SchedulerFixture mFixture;
  std::uint64_t mLast = 0;
  std::map<std::uint64_t, std::pair<std::string, Instant>> mOpen;
  std::multimap<Instant, std::uint64_t> mEnds;
  std::map<std::string, Count> mCounts;
};

} // namespace

TEST_GROUP(WorkspaceShares){};

// Without shares the requests of all wait in one line for seconds.
TEST(WorkspaceShares, ManyRequestsOfOneDoNotDelayTheOthers)
{
  for (const int hotPerSecond : { 2, 20, 80 }) {
    SharedLoad load({ { "hot", 100 }, { "quiet", 100 }, { "still", 100 } });
    load.Run({ { "hot", hotPerSecond }, { "quiet", 2 }, { "still", 2 } },
             Milliseconds(20000));
    auto counts = load.Run({}, kWork); // The last ones may still wait.
    for (const std::string name : { "quiet", "still" }) {
      CHECK_EQUAL_TEXT(counts[name].mSent, counts[name].mPlaced, name.c_str());
      // Until the next place is free.
      CHECK_TEXT(counts[name].mMostWait <= kWork, name.c_str());
    }
    // What the others leave is used.
    const int all = counts["hot"].mPlaced + 2 * counts["quiet"].mPlaced;
    CHECK(all >= std::min(hotPerSecond + 4, 10) * 19);
  }
}

TEST(WorkspaceShares, SharesFollowWeights)
{
  SharedLoad load({ { "large", 300 }, { "small", 100 } });
  auto counts =
    load.Run({ { "large", 40 }, { "small", 40 } }, Milliseconds(20000));
  const double ratio = static_cast<double>(counts["large"].mPlaced) /
                       static_cast<double>(counts["small"].mPlaced);
  CHECK(ratio > 2.7);
  CHECK(ratio < 3.3);
}
