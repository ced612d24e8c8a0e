#include "relay_scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

struct Row
{
  const char* mName;
  int mPromptTokens;
  int mMaxTokens;
  bool mIsPlaced;
};

// A refused row would wait for memory that no replica has.
const Row kRows[] = {
  { "fits", 4000, 1000, true },
  { "fits but for the reserve for its output",
    kReplicaTokens - 10,
    2000,
    true },
  { "fills a replica", kReplicaTokens, 0, true },
  { "larger than every replica", kReplicaTokens + 1, 0, false },
  { "much larger", 4 * kReplicaTokens, 100, false },
};

} // namespace

TEST_GROUP(PromptSizes){};

TEST(PromptSizes, PromptIsPlacedOrRefusedAtOnce)
{
  for (const Row& row : kRows) {
    RelaySchedulerFixture fixture;
    PlaceRequest place = fixture.MakeRequest(1, Milliseconds(900));
    place.mPromptTokens = row.mPromptTokens;
    place.mMaxTokens = row.mMaxTokens;
    fixture.Place(place);
    CHECK_EQUAL_TEXT(
      row.mIsPlaced, fixture.FindSent<Placed>() != nullptr, row.mName);
    CHECK_EQUAL_TEXT(!row.mIsPlaced,
                     fixture.FindSent<PlacementRefused>() != nullptr,
                     row.mName);
  }
}
