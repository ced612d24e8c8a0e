#include "quota_fleet.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace heatherfork;
using namespace heatherfork::detail;

namespace {

constexpr Duration kSecond = Milliseconds(1000);
constexpr Duration kWarmUp = 3 * kSecond; ///< Nodes join, buckets fill.

enum class Demand
{
  kEven,
  kOneNode,
  kMoving, ///< To another node each second.
};

const char*
NameOf(Demand aDemand)
{
  return aDemand == Demand::kEven      ? "even"
         : aDemand == Demand::kOneNode ? "one node"
                                       : "moving";
}

/// A large quota of tokens, with its tolerance.
WorkspaceQuota
TokenQuota()
{
  return { QuotaUnit::kTokens, 266675, 266675, 200 };
}

RelaySettings
TokenSettings()
{
  RelaySettings settings;
  settings.mQuotaOvershoot = 0.25;
  settings.mQuotaSlack = 190000;
  return settings;
}

/// Few requests a second, with little tolerance.
WorkspaceQuota
SmallQuota()
{
  return { QuotaUnit::kRequests, 4, 6, 0 };
}

RelaySettings
SmallSettings()
{
  RelaySettings settings;
  settings.mQuotaOvershoot = 0.25;
  settings.mQuotaSlack = 4;
  return settings;
}

double
BoundOf(const WorkspaceQuota& aQuota, const RelaySettings& aSettings)
{
  const double window =
    std::chrono::duration<double>(aSettings.mQuotaWindow).count();
  return (aQuota.mRate * window + aQuota.mBurst) *
           (1 + aSettings.mQuotaOvershoot) +
         static_cast<double>(aSettings.mQuotaSlack);
}

/// Requests of one size at a rate, at the nodes that the demand names.
class Load
{
public:
  Load(Demand aDemand, int aNodes, double aUnitsPerSecond, std::int64_t aSize)
    : mDemand(aDemand)
    , mNodes(aNodes)
    , mUnitsPerSecond(aUnitsPerSecond)
    , mSize(aSize)
  {
  }

  /// Calls aSend(node, units) for the requests of one step.
  template<class F>
  void Step(Instant aNow, F aSend)
  {
    mDue += mUnitsPerSecond *
            std::chrono::duration<double>(QuotaFleet::kStep).count();
    for (; mDue >= static_cast<double>(mSize);
         mDue -= static_cast<double>(mSize)) {
      aSend(NextNode(aNow), mSize);
    }
  }

private:
  int NextNode(Instant aNow)
  {
    switch (mDemand) {
      case Demand::kEven:
        return static_cast<int>(mRandom() % std::uint64_t(mNodes));
      case Demand::kOneNode:
        return mNodes / 3;
      case Demand::kMoving:
        return static_cast<int>((aNow.time_since_epoch() / kSecond * 7) %
                                mNodes);
    }
    return 0;
  }

  Demand mDemand;
  int mNodes;
  double mUnitsPerSecond;
  std::int64_t mSize;
  double mDue = 0;
  std::mt19937_64 mRandom{ 7 };
};

struct Figures
{
  std::int64_t mAsked = 0;
  std::int64_t mGranted = 0;
  std::int64_t mReference = 0; ///< Granted by one bucket over all nodes.
  std::int64_t mWorst = 0;     ///< Units of the worst window.

  double OfReference() const
  {
    return static_cast<double>(mGranted) / static_cast<double>(mReference);
  }
};

std::int64_t
Sum(const GrantedUnits& aGranted, Instant aFrom)
{
  std::int64_t sum = 0;
  for (const auto& [at, units] : aGranted) {
    sum += at >= aFrom ? units : 0;
  }
  return sum;
}

/// Runs aLoad for aTime after the warm-up. aEvent is called at each step with
/// the time since the warm-up.
Figures
RunLoad(
  QuotaFleet& aFleet,
  Load aLoad,
  const WorkspaceQuota& aQuota,
  Duration aWindow,
  Duration aTime,
  const std::function<void(Duration)>& aEvent = [](Duration) {})
{
  const Instant begin = aFleet.mNow + kWarmUp;
  while (aFleet.mNow < begin) {
    aFleet.Step();
  }
  Figures figures;
  ReferenceBucket reference{ aQuota.mRate, aQuota.mBurst };
  reference.mAt = begin;
  while (aFleet.mNow < begin + aTime) {
    aFleet.Step();
    aEvent(aFleet.mNow - begin);
    aLoad.Step(aFleet.mNow, [&](int aNode, std::int64_t aUnits) {
      figures.mAsked += aUnits;
      if (reference.Take(aFleet.mNow, static_cast<double>(aUnits))) {
        figures.mReference += aUnits;
      }
      aFleet.Send(aNode, aUnits);
    });
  }
  for (int n = 0; n < 50; ++n) {
    aFleet.Step();
  }
  figures.mGranted = Sum(aFleet.mGranted, begin);
  figures.mWorst = WorstWindow(aFleet.mGranted, aWindow);
  return figures;
}

void
Print(const char* aName, const Figures& aFigures, double aBound)
{
  std::printf("\n%-34s granted/reference %.3f  worst window/bound %.3f",
              aName,
              aFigures.OfReference(),
              static_cast<double>(aFigures.mWorst) / aBound);
}

/// Each node with a bucket of its own, of a part of the quota.
Figures
RunSeparateBuckets(Demand aDemand, int aNodes, double aPart)
{
  const WorkspaceQuota quota = TokenQuota();
  const Instant begin{ Milliseconds(1000000) };
  std::vector<ReferenceBucket> buckets(
    aNodes, { quota.mRate * aPart, quota.mBurst * aPart });
  ReferenceBucket reference{ quota.mRate, quota.mBurst };
  for (ReferenceBucket& bucket : buckets) {
    bucket.mAt = begin;
  }
  reference.mAt = begin;
  Load load(aDemand, aNodes, 3 * quota.mRate, 3300);
  Figures figures;
  GrantedUnits granted;
  for (Instant now = begin; now < begin + 12 * kSecond;
       now += QuotaFleet::kStep) {
    load.Step(now, [&](int aNode, std::int64_t aUnits) {
      const auto units = static_cast<double>(aUnits);
      figures.mReference += reference.Take(now, units) ? aUnits : 0;
      if (buckets[aNode].Take(now, units)) {
        granted.emplace_back(now, aUnits);
      }
    });
  }
  figures.mGranted = Sum(granted, begin);
  figures.mWorst = WorstWindow(granted, Milliseconds(8000));
  return figures;
}

} // namespace

// The leak detector searches lists of all allocations, which takes minutes for
// hundreds of nodes. unit-quota-owner and unit-quota-credit run with it.
TEST_GROUP(Quotas){
  void setup() override{ MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
}
void
teardown() override
{
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
}
}
;

// What the bound and the demand rule out: why nodes exchange credit.
TEST(Quotas, SeparateBucketsRefuseBelowTheLimitOrOvershoot)
{
  constexpr int kNodes = 74;
  const double bound = BoundOf(TokenQuota(), TokenSettings());
  const Figures equal =
    RunSeparateBuckets(Demand::kOneNode, kNodes, 1.0 / kNodes);
  Print("equal shares, one node", equal, bound);
  CHECK(equal.OfReference() < 0.5);
  const Figures whole = RunSeparateBuckets(Demand::kEven, kNodes, 1);
  Print("no exchange, even", whole, bound);
  CHECK(static_cast<double>(whole.mWorst) > 1.5 * bound);
}

TEST(Quotas, WholeRateIsUsableWhereverDemandComes)
{
  struct Size
  {
    const char* mName;
    WorkspaceQuota mQuota;
    RelaySettings mSettings;
    std::int64_t mUnits;
    std::vector<int> mNodes;
  };
  const Size kSizes[] = {
    { "streams", TokenQuota(), TokenSettings(), 3300, { 1, 8, 74, 295 } },
    { "plain", TokenQuota(), TokenSettings(), 1100, { 8, 74 } },
    { "few requests", SmallQuota(), SmallSettings(), 1, { 1, 8, 74, 295 } },
  };
  for (const Size& size : kSizes) {
    const double bound = BoundOf(size.mQuota, size.mSettings);
    for (const int nodes : size.mNodes) {
      for (const Demand demand :
           { Demand::kEven, Demand::kOneNode, Demand::kMoving }) {
        for (const double load : { 0.95, 3.0 }) {
          QuotaFleet fleet(nodes, size.mQuota, size.mSettings);
          const Figures figures =
            RunLoad(fleet,
                    Load(demand, nodes, load * size.mQuota.mRate, size.mUnits),
                    size.mQuota,
                    size.mSettings.mQuotaWindow,
                    10 * kSecond);
          const std::string name =
            std::string(size.mName) + " " + std::to_string(nodes) + " " +
            NameOf(demand) + " x" + std::to_string(load).substr(0, 4);
          Print(name.c_str(), figures, bound);
          CHECK_TEXT(figures.OfReference() >= (load < 1 ? 1.0 : 0.95),
                     name.c_str());
          CHECK_TEXT(static_cast<double>(figures.mWorst) <= bound,
                     name.c_str());
        }
      }
    }
  }
}

TEST(Quotas, FailuresStayWithinTheBound)
{
  constexpr int kNodes = 24;
  constexpr Duration kNoticed = Milliseconds(800);
  using Event = std::function<void(QuotaFleet&, int, Duration)>;
  const auto isAt = [](Duration aSince, Duration aAt) { return aSince == aAt; };
  const auto isSide = [](int aNode, int aSize) { return aNode < aSize; };
  const auto cut = [&](QuotaFleet& aFleet, int aSize, Duration aSince) {
    if (isAt(aSince, 2 * kSecond)) {
      for (int n = 0; n < aSize; ++n) {
        aFleet.mNodes[n]->mSide = 1;
      }
    }
    if (isAt(aSince, 2 * kSecond + kNoticed)) {
      aFleet.SetStatus(MemberStatus::kSuspect, [&](int aOne, int aTwo) {
        return isSide(aOne, aSize) != isSide(aTwo, aSize);
      });
    }
  };
  struct Row
  {
    const char* mName;
    double mLoad;
    double mLeast; ///< Granted, as a part of one bucket over all nodes.
    Event mEvent;  ///< (fleet, first owner, time since the warm-up)
  };
  const Row kRows[] = {
    { "owner killed",
      3,
      0.85,
      [&](QuotaFleet& aFleet, int aOwner, Duration aSince) {
        if (isAt(aSince, 2 * kSecond)) {
          aFleet.mNodes[aOwner]->mIsDead = true;
        }
        if (isAt(aSince, 2 * kSecond + kNoticed)) {
          aFleet.SetStatus(MemberStatus::kSuspect,
                           [&](int, int aMember) { return aMember == aOwner; });
        }
      } },
    { "owner paused and back",
      3,
      0.7,
      [&](QuotaFleet& aFleet, int aOwner, Duration aSince) {
        if (isAt(aSince, 2 * kSecond) || isAt(aSince, 5 * kSecond)) {
          aFleet.mNodes[aOwner]->mIsRunning = aSince == 5 * kSecond;
        }
        if (isAt(aSince, 2 * kSecond + kNoticed) ||
            isAt(aSince, 5 * kSecond + Milliseconds(300))) {
          aFleet.SetStatus(aSince < 5 * kSecond ? MemberStatus::kSuspect
                                                : MemberStatus::kAlive,
                           [&](int, int aMember) { return aMember == aOwner; });
        }
      } },
    { "two owners",
      3,
      0.95,
      [&](QuotaFleet& aFleet, int aOwner, Duration aSince) {
        // Half of the nodes suspect the owner for a second.
        if (isAt(aSince, 2 * kSecond) || isAt(aSince, 3 * kSecond)) {
          aFleet.SetStatus(aSince < 3 * kSecond ? MemberStatus::kSuspect
                                                : MemberStatus::kAlive,
                           [&](int aObserver, int aMember) {
                             return aMember == aOwner && aObserver % 2 == 0;
                           });
        }
      } },
    { "a node alone",
      3,
      0.85,
      [&](QuotaFleet& aFleet, int, Duration aSince) {
        cut(aFleet, 1, aSince);
      } },
    { "a zone cut",
      3,
      0.85,
      [&](QuotaFleet& aFleet, int, Duration aSince) {
        cut(aFleet, 8, aSince);
      } },
    { "half cut",
      3,
      0.85,
      [&](QuotaFleet& aFleet, int, Duration aSince) {
        cut(aFleet, 12, aSince);
      } },
    { "all restarted",
      3,
      0.7,
      [&](QuotaFleet& aFleet, int, Duration aSince) {
        for (int n = 0; isAt(aSince, 2 * kSecond) && n < kNodes; ++n) {
          aFleet.Restart(n);
        }
      } },
  };
  const double bound = BoundOf(TokenQuota(), TokenSettings());
  for (const Row& row : kRows) {
    for (const Demand demand : { Demand::kEven, Demand::kMoving }) {
      QuotaFleet fleet(kNodes, TokenQuota(), TokenSettings());
      int owner = -1;
      const Figures figures =
        RunLoad(fleet,
                Load(demand, kNodes, row.mLoad * TokenQuota().mRate, 3300),
                TokenQuota(),
                TokenSettings().mQuotaWindow,
                14 * kSecond,
                [&](Duration aSince) {
                  owner = owner < 0 ? fleet.OwnerFor(0) : owner;
                  row.mEvent(fleet, owner, aSince);
                });
      Print((row.mName + std::string(", ") + NameOf(demand)).c_str(),
            figures,
            bound);
      CHECK_TEXT(static_cast<double>(figures.mWorst) <= bound, row.mName);
      if (demand == Demand::kEven) {
        CHECK_TEXT(figures.OfReference() >= row.mLeast, row.mName);
      }
    }
  }
}

TEST(Quotas, ChangedLimitsBindWithinAWindow)
{
  constexpr int kNodes = 24;
  constexpr Duration kChange = 3 * kSecond;
  struct Row
  {
    const char* mName;
    double mFactor; ///< Of rate and burst, from the change on; 0: no quota.
  };
  const Row kRows[] = { { "lowered", 0.2 }, { "raised", 2 }, { "removed", 0 } };
  for (const Row& row : kRows) {
    QuotaFleet fleet(kNodes, TokenQuota(), TokenSettings());
    WorkspaceQuota changed = TokenQuota();
    changed.mRate *= row.mFactor;
    changed.mBurst *= row.mFactor;
    Instant changedAt{};
    Load load(Demand::kEven, kNodes, 3 * TokenQuota().mRate, 3300);
    const Figures figures = RunLoad(fleet,
                                    load,
                                    TokenQuota(),
                                    TokenSettings().mQuotaWindow,
                                    20 * kSecond,
                                    [&](Duration aSince) {
                                      if (aSince == kChange) {
                                        changedAt = fleet.mNow;
                                        fleet.SetQuota(changed);
                                      }
                                    });
    Print(row.mName, figures, BoundOf(changed, TokenSettings()));
    const Duration window = TokenSettings().mQuotaWindow;
    const auto later =
      static_cast<double>(WorstWindow(fleet.mGranted, window, changedAt));
    const double limit =
      changed.mRate * std::chrono::duration<double>(window).count();
    if (row.mFactor > 0) {
      CHECK_TEXT(later <= BoundOf(changed, TokenSettings()), row.mName);
      CHECK_TEXT(later >= 0.95 * limit, row.mName);
    } else {
      CHECK_FALSE(fleet.mNodes[0]->mQuotas.Find(fleet.mWorkspace) != nullptr);
    }
  }
}

TEST(Quotas, JoiningNodesDoNotEndService)
{
  constexpr int kNodes = 24;
  QuotaFleet fleet(kNodes, TokenQuota(), TokenSettings());
  const auto isNew = [](int, int aMember) { return aMember >= kNodes / 2; };
  fleet.SetStatus(MemberStatus::kDead, isNew);
  const Figures figures =
    RunLoad(fleet,
            Load(Demand::kEven, kNodes / 2, 0.9 * TokenQuota().mRate, 3300),
            TokenQuota(),
            TokenSettings().mQuotaWindow,
            12 * kSecond,
            [&](Duration aSince) {
              if (aSince == 3 * kSecond) {
                fleet.SetStatus(MemberStatus::kAlive, isNew);
              }
            });
  const double bound = BoundOf(TokenQuota(), TokenSettings());
  Print("nodes added", figures, bound);
  CHECK(figures.OfReference() >= 0.95);
  CHECK(static_cast<double>(figures.mWorst) <= bound);
}
