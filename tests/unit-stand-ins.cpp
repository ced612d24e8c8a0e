#include <array>
#include <functional>

#include "attempt_table.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace heatherfork::stand_in;

constexpr AttemptKey kAttempt{ 1, 5 };
constexpr int kTokens = 3000;

struct TestCase
{
  const char* mName;
  std::function<absl::Status(AttemptTable&, Instant)> mSteps;
  absl::StatusCode mExpected;
  int mPiecesHeld;
};

Instant
After(Instant aStart, int aMilliseconds)
{
  return aStart + milliseconds(aMilliseconds);
}

absl::Status
RunPrefill(AttemptTable& aTable, Instant aNow)
{
  const auto status = aTable.BeginPrefill(kAttempt, kTokens, "p", aNow);
  return status.ok() ? aTable.EndPrefill(kAttempt, aNow) : status;
}

absl::Status
ReserveAndImport(AttemptTable& aTable, Instant aNow)
{
  const auto status = aTable.Reserve(kAttempt, 2, aNow);
  return status.ok() ? aTable.Import(kAttempt, kTokens, "p", aNow) : status;
}

const std::array kTestCases{
  TestCase{ "a result is held until its lifetime ends",
            [](auto& aTable, Instant aNow) {
              (void)RunPrefill(aTable, aNow);
              return aTable.Result(kAttempt, After(aNow, 799)).status();
            },
            absl::StatusCode::kOk,
            2 },
  TestCase{ "a result is evicted after its lifetime",
            [](auto& aTable, Instant aNow) {
              (void)RunPrefill(aTable, aNow);
              return aTable.Result(kAttempt, After(aNow, 800)).status();
            },
            absl::StatusCode::kOutOfRange,
            0 },
  TestCase{ "a cancelled attempt refuses a later reservation",
            [](auto& aTable, Instant aNow) {
              aTable.Cancel(kAttempt, aNow);
              return aTable.Reserve(kAttempt, 1, After(aNow, 119999));
            },
            absl::StatusCode::kFailedPrecondition,
            0 },
  TestCase{ "a tombstone expires",
            [](auto& aTable, Instant aNow) {
              aTable.Cancel(kAttempt, aNow);
              return aTable.Reserve(kAttempt, 1, After(aNow, 120000));
            },
            absl::StatusCode::kOk,
            1 },
  TestCase{
    "a cancelled range frees its attempts and refuses later reservations",
    [](auto& aTable, Instant aNow) {
      (void)ReserveAndImport(aTable, aNow);
      aTable.CancelRange(kAttempt.first, kAttempt.second, aNow);
      return aTable.Reserve({ 1, 4 }, 1, aNow);
    },
    absl::StatusCode::kFailedPrecondition,
    0 },
  TestCase{ "a cancelled range does not affect higher sequence numbers",
            [](auto& aTable, Instant aNow) {
              (void)ReserveAndImport(aTable, aNow);
              aTable.CancelRange(kAttempt.first, kAttempt.second - 1, aNow);
              return aTable.OpenStream(kAttempt, 0, aNow).status();
            },
            absl::StatusCode::kOk,
            2 },
  TestCase{ "a stream resumes at an offset that was decoded",
            [](auto& aTable, Instant aNow) {
              (void)ReserveAndImport(aTable, aNow);
              (void)aTable.OpenStream(kAttempt, 0, aNow);
              aTable.RecordToken(kAttempt, 1, 7);
              return aTable.OpenStream(kAttempt, 7, aNow).status();
            },
            absl::StatusCode::kOk,
            2 },
  TestCase{ "a stream does not resume beyond the decoded tokens",
            [](auto& aTable, Instant aNow) {
              (void)ReserveAndImport(aTable, aNow);
              return aTable.OpenStream(kAttempt, 1, aNow).status();
            },
            absl::StatusCode::kOutOfRange,
            2 },
  TestCase{ "an import needs a reservation",
            [](auto& aTable, Instant aNow) {
              return aTable.Import(kAttempt, kTokens, "p", aNow);
            },
            absl::StatusCode::kFailedPrecondition,
            0 },
  TestCase{ "a full engine refuses a reservation",
            [](auto& aTable, Instant aNow) {
              return aTable.Reserve(kAttempt, 201, aNow);
            },
            absl::StatusCode::kResourceExhausted,
            0 },
};

TEST_GROUP(StandIns){};

TEST(StandIns, AttemptTableEnforcesLifetimesAndLimits)
{
  for (const auto& testCase : kTestCases) {
    AttemptTable table{ Capacity{} };
    const Instant start = Instant{} + std::chrono::hours(1);
    const auto status = testCase.mSteps(table, start);
    CHECK_TEXT(status.code() == testCase.mExpected, testCase.mName);
    LONGS_EQUAL_TEXT(testCase.mPiecesHeld,
                     table.CurrentUsage(Instant{}).mPieces,
                     testCase.mName);
  }
}

} // namespace
