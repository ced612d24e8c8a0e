#include <string>

#include "heatherfork/trace.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

std::string
ParseErrorOf(const std::string& aText)
{
  const auto line = ParseTraceLine(aText);
  return line.ok() ? ""
                   : std::string(line.status().message().data(),
                                 line.status().message().size());
}

const NodeId kNode{ { "a" }, 0xfedcba9876543210 };
const AttemptId kAttempt{ 0xfedcba9876543210, 1ULL << 32 };

Request
SampleRequest()
{
  Request request;
  request.mWorkspace = { "torun" };
  request.mKind = RequestKind::kPlainCall;
  request.mKey = { "k" };
  request.mHome = kNode;
  request.mDeadline = Instant(Duration(-1));
  request.mBody = "\xff\x01\"\\\n Toru\xc5\x84";
  request.mBody += '\0';
  request.mFingerprint = ~0ULL;
  return request;
}

ConfigurationPtr
SampleConfiguration()
{
  Configuration configuration;
  configuration.mRevision = 7;
  configuration.mClasses = { WorkClass{ { "must" }, false, true } };
  configuration.mPools = { Pool{
    { "p" }, {}, { "desk" }, 0, 0, { BackendServer{ { "s" }, { "1:2" } } } } };
  configuration.mLimits.mMaxRecords = 0;
  return std::make_shared<const Configuration>(configuration);
}

} // namespace

TEST_GROUP(Trace){};

TEST(Trace, FormatsAndParsesEveryLineType)
{
  NodeSettings settings;
  settings.mSelf = kNode;
  settings.mPolicy.mCancelRetry = Duration(1);
  const Answer failed{ false, Error{ ErrorCode::kHomeUnreachable, "gone" } };
  const ServerReply reply{ CallStatus::kOk, "b", 3, 1 };
  const TraceLine lines[] = {
    TraceHeader{ 1, true },
    NodeStarted{ settings },
    EventRecorded{ { "a" }, Instant(Duration(5)), TimerFired{} },
    EventRecorded{ { "a" }, {}, CallerRequested{ 9, SampleRequest() } },
    EventRecorded{ { "a" }, {}, TokensReceived{ kAttempt, 1, 2, "x" } },
    EventRecorded{
      { "a" },
      {},
      ServerReplied{
        kAttempt, { "s" }, PrefillCall{ { "m" }, {}, "p", 1, 2 }, reply } },
    EventRecorded{
      { "a" },
      {},
      PeerReceived{ kNode, ForwardRequest{ 4, SampleRequest() } } },
    EffectRecorded{ { "a" }, AnswerCaller{ 9, failed } },
    EffectRecorded{
      { "a" },
      CallServer{ kAttempt, { "s" }, {}, {}, CancelRangeCall{ 3, 4 } } },
    EffectRecorded{ { "a" }, SendToPeer{ kNode, Placed{ kAttempt } } },
    EffectRecorded{ { "a" }, ExitProcess{} },
    ArrivalsExpected{ { "torun" }, { "k" }, 1, 1 },
    AnswerExpected{ kNode, 9, false, "home-unreachable" },
    NoAnswerExpected{ kNode, 9 },
    InvariantsExpected{},
    MemoryFreeExpected{},
  };
  for (const TraceLine& line : lines) {
    const std::string text = FormatTraceLine(line);
    const auto parsed = ParseTraceLine(text);
    CHECK_TEXT(parsed.ok(), ParseErrorOf(text).c_str());
    CHECK_TEXT(*parsed == line, text.c_str());
  }
}

TEST(Trace, FormatsAndParsesConfigurations)
{
  const ConfigurationPtr original = SampleConfiguration();
  const auto line = ParseTraceLine(FormatTraceLine(
    EventRecorded{ { "a" }, {}, ConfigurationChecked{ original } }));
  CHECK(line.ok());
  const auto& body = std::get<EventRecorded>(*line).mBody;
  CHECK(*std::get<ConfigurationChecked>(body).mConfiguration == *original);
}

TEST(Trace, OmitsDefaultValues)
{
  STRCMP_EQUAL(R"({"Event":{"node":"a","at":5,"body":{"TimerFired":{}}}})",
               FormatTraceLine(
                 EventRecorded{ { "a" }, Instant(Duration(5)), TimerFired{} })
                 .c_str());
}

TEST(Trace, ParseErrorsNameFieldAndExpectedValue)
{
  struct Row
  {
    const char* mText;
    const char* mError;
  };
  const std::string nestedArrays = std::string(40, '[') + std::string(40, ']');
  const Row rows[] = {
    { "", "expected a JSON object" },
    { "{", "expected a JSON object" },
    { nestedArrays.c_str(),
      "expected at most 32 levels of objects and arrays" },
    { "[]", "line: expected an object with one key, found an array" },
    { R"({"Event":{},"Trace":{}})",
      "line: expected an object with one key, found an object" },
    { R"({"Nothing":{}})", "line: expected a known type, found Nothing" },
    { R"({"Trace":{"version":"1"}})",
      "line.Trace.version: expected an integer in range, found a string of 1 "
      "bytes" },
    { R"({"Trace":{"version":3000000000}})",
      "line.Trace.version: expected an integer in range, found an integer" },
    { R"({"Trace":{"more":1}})",
      "line.Trace: expected a known key, found more" },
    { R"({"Trace":{"version":1,"version":1}})",
      "line.Trace: expected each key once, found version" },
    { R"({"Trace":{"has_effects":1}})",
      "line.Trace.has_effects: expected a boolean, found an integer" },
    { R"({"ExpectAnswer":{"caller":"12345678901234567"}})",
      "line.ExpectAnswer.caller: expected a string of 1 to 16 hex digits, "
      "found a string of 17 bytes" },
    { R"({"ExpectAnswer":{"error":{"hex":"0"}}})",
      "line.ExpectAnswer.error: expected pairs of hex digits, found a string "
      "of 1 bytes" },
    { R"({"Effect":{"effect":{"SendToPeer":{"message":{"PlacementRefused":{}}}}}})",
      "line.Effect.effect.SendToPeer.message.PlacementRefused.error.code: "
      "expected this key" },
    { R"({"Effect":{"effect":{"AnswerCaller":{"answer":{"error":{"code":"no"}}}}}})",
      "line.Effect.effect.AnswerCaller.answer.error.code: expected a known "
      "name, found a string of 2 bytes" },
  };
  for (const Row& row : rows) {
    STRCMP_EQUAL(row.mError, ParseErrorOf(row.mText).c_str());
  }
}

TEST(Trace, RejectsLinesAboveMaximumLength)
{
  STRCMP_EQUAL("expected a shorter line",
               ParseErrorOf(std::string(kMaxTraceLineBytes + 1, ' ')).c_str());
}
