#include "heatherfork/detail/http/request_reader.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::detail;

namespace {

const Instant kNow{ Milliseconds(1000000) };
const Workspace kWorkspace{ WorkspaceName{ "t" } };

Configuration
SmallConfiguration()
{
  Configuration configuration;
  configuration.mClasses = { WorkClass{
    ClassName{ "chat" }, false, false, Milliseconds(5000) } };
  Model model;
  model.mName = ModelName{ "m" };
  model.mDefaultClass = ClassName{ "chat" };
  configuration.mModels = { model };
  configuration.mCalls = { ServiceCall{
    ServiceName{ "desk" }, "stock", ClassName{ "chat" } } };
  return configuration;
}

RequestResult
Read(const std::string& aPath, const std::string& aBody)
{
  return ReadRequest({ aPath, aBody }, SmallConfiguration(), kWorkspace, kNow);
}

/// Invalid input and the expected error.
struct Row
{
  const char* mPath;
  std::string mBody;
  ErrorCode mCode;
  const char* mMessage;
};

const char* const kCompletionsPath = "/v1/completions";
const char* const kStockPath = "/v1/services/desk/stock";

} // namespace

TEST_GROUP(RequestReader){};

TEST(RequestReader, RefusesInvalidInputWithItsMessage)
{
  const std::string deep =
    "{\"body\":" + std::string(40, '[') + std::string(40, ']') + "}";
  const std::vector<Row> rows{
    { "/v1/other",
      "{}",
      ErrorCode::kNotFound,
      "expected /v1/entries, /v1/completions or /v1/services/SERVICE/CALL" },
    { kCompletionsPath, "", ErrorCode::kBadJson, "expected a JSON object" },
    { kCompletionsPath, "[]", ErrorCode::kBadJson, "expected a JSON object" },
    { kCompletionsPath,
      "{\"a\":",
      ErrorCode::kBadJson,
      "expected a JSON object" },
    { kCompletionsPath,
      "{\"a\":\"\xff\"}",
      ErrorCode::kBadJson,
      "expected UTF-8" },
    { kStockPath,
      deep,
      ErrorCode::kBadJson,
      "expected JSON of at most 32 levels, found more" },
    { kCompletionsPath,
      R"({"prompt":"p","max_tokens":1})",
      ErrorCode::kBadField,
      "expected \"model\"" },
    { kCompletionsPath,
      R"({"model":"m","prompt":7,"max_tokens":1})",
      ErrorCode::kBadField,
      "expected \"prompt\" to be a string of at most 39 bytes" },
    { kCompletionsPath,
      R"({"model":"m","prompt":"p","max_tokens":0})",
      ErrorCode::kBadField,
      "expected \"max_tokens\" to be a whole number from 1 to 1000000" },
    { kCompletionsPath,
      R"({"model":"m","prompt":"p","max_tokens":1,"stream":1})",
      ErrorCode::kBadField,
      "expected \"stream\" to be true or false" },
    { kCompletionsPath,
      R"({"model":"m","prompt":"p","max_tokens":1,"x":1})",
      ErrorCode::kBadField,
      "expected no member \"x\"" },
    { kStockPath, "{}", ErrorCode::kBadField, "expected \"body\"" },
    { kStockPath,
      R"({"body":1,"key":"k","key_expires_ms":9,"home":"n"})",
      ErrorCode::kBadField,
      "expected \"home\" to be \"NODE/INCARNATION\"" },
    { kStockPath,
      R"({"body":1,"key":"k","home":"n/a1"})",
      ErrorCode::kBadField,
      "expected \"key_expires_ms\"" },
    { kStockPath,
      R"({"body":1,"key_expires_ms":9,"home":"n/a1"})",
      ErrorCode::kBadField,
      "expected \"key\"" },
  };
  for (const Row& row : rows) {
    const RequestResult result = Read(row.mPath, row.mBody);
    const Error* error = std::get_if<Error>(&result);
    CHECK_TEXT(error != nullptr, row.mBody.c_str());
    CHECK(row.mCode == error->mCode);
    STRCMP_EQUAL(row.mMessage, error->mMessage.c_str());
  }
}

TEST(RequestReader, TakesDefaultsFromConfiguration)
{
  const RequestResult result = Read(
    kCompletionsPath, R"({"model":"m","prompt":"12345678","max_tokens":2})");
  const Request& request = std::get<Request>(result);
  STRCMP_EQUAL("chat", request.mClass.mValue.c_str());
  CHECK_EQUAL(3, request.mPromptTokens);
  CHECK(request.mDeadline == kNow + Milliseconds(5000));
}

TEST(RequestReader, FingerprintDependsOnContentOnly)
{
  const auto fingerprint = [](const char* aBody) {
    return std::get<Request>(Read(kStockPath, aBody)).mFingerprint;
  };
  const auto first = fingerprint(R"({"body":{"n":1}})");
  CHECK(first == fingerprint(R"({ "body" : { "n" : 1 }, "key" : "k" })"));
  CHECK(first != fingerprint(R"({"body":{"n":2}})"));
}

TEST(RequestReader, ReadsHomeWithItsIncarnation)
{
  const RequestResult result = Read(
    kStockPath,
    R"({"body":1,"key":"k","key_expires_ms":9000,"home":"a/b/00000000000000a1"})");
  const Request& request = std::get<Request>(result);
  CHECK((request.mHome == NodeId{ NodeName{ "a/b" }, 0xa1 }));
  CHECK(request.mKeyExpires == Instant(Milliseconds(9000)));
}
