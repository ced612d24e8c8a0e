#include "heatherfork/configuration_document.h"
#include "platform/wire.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

using relay::HttpField;

HttpHead
Head(std::vector<HttpField> aFields)
{
  HttpHead head;
  head.mMethod = "POST";
  head.mTarget = "/p/x?q=1";
  head.mFields = std::move(aFields);
  return head;
}

const HttpField kHost{ "Host", "h.example" };
const HttpField kId{ "Request-Id", "r1" };
const platform::Wire kWire;

} // namespace

TEST_GROUP(Platform){};

TEST(Platform, RejectsMalformedRequests)
{
  struct Row
  {
    std::vector<HttpField> mFields;
    std::string mMessage; ///< Empty if the request is valid.
  };
  const Row kRows[] = {
    { { kHost, kId }, "" },
    { { kId }, "field \"Host\" is missing" },
    { { kHost }, "field \"Request-Id\" is missing" },
    { { kHost, kHost, kId }, "field \"Host\" came 2 times" },
    { { kHost, kId, kId }, "field \"Request-Id\" came 2 times" },
    { { kHost, kId, { "Deadline-Ms", "12x" } },
      "field \"Deadline-Ms\" is no whole number" },
    { { kHost, kId, { "Token-Usage", "12" } },
      "field \"Token-Usage\" is no pair of whole numbers" },
  };
  for (const Row& row : kRows) {
    const auto read = kWire.ReadRequest(Head(row.mFields), "body");
    const auto* error = std::get_if<Error>(&read);
    STRCMP_EQUAL(row.mMessage.c_str(),
                 error == nullptr ? "" : error->mMessage.c_str());
  }
}

TEST(Platform, BoundsTokenCounts)
{
  constexpr int kMost = 100000000;
  const auto read =
    kWire.ReadRequest(Head({ kHost,
                             kId,
                             { "Token-Usage", "4294967297,999999999999999" },
                             { "Length-Hint", "2147483648" },
                             { "Prompt-Prefix", "a:4294967299" } }),
                      "");
  const auto* request = std::get_if<RelayRequest>(&read);
  CHECK(request != nullptr);
  CHECK_EQUAL(kMost, request->mPromptTokens);
  CHECK_EQUAL(kMost, request->mMaxTokens);
  CHECK_EQUAL(kMost, request->mExpectedTokens);
  CHECK_EQUAL(1U, request->mParts.size());
  CHECK_EQUAL(kMost, request->mParts[0].mTokens);
}

TEST(Platform, WritesCallWithCallerAndOwnFieldsOnly)
{
  StartCall call;
  call.mServer.mValue = "i-1";
  call.mStage = RelayStage::kDecode;
  call.mKvHolder.mValue = "10.0.0.1:80";
  call.mCacheId = "k";
  const std::string text = kWire.WriteCallHead(Head({ kHost,
                                                      kId,
                                                      { "Model", "m" },
                                                      { "Kv-Hold", "theirs" },
                                                      { "Kv-Source", "theirs" },
                                                      { "Pin-Ms", "theirs" },
                                                      { "Deadline-Ms", "9000" },
                                                      { "Connection", "x-hop" },
                                                      { "X-Hop", "theirs" } }),
                                               2,
                                               call,
                                               Milliseconds(1200));
  STRCMP_EQUAL("POST /p/x?q=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
               "Model: m\r\nDeadline-Ms: 1200\r\nTarget-Instance: i-1\r\n"
               "Kv-Source: 10.0.0.1:80/k\r\nContent-Length: 2\r\n\r\n",
               text.c_str());
}

TEST(Platform, WithholdsKeyAndNamesWorkspace)
{
  const HttpField kKey{ "Authorization", "Bearer k1" };
  const HttpField kClaim{ "tENANT", "theirs" };
  struct Row
  {
    const char* mName;
    std::vector<HttpField> mFields;
    bool mHasWorkspaces;
    std::string mWorkspace;
    std::string mFieldsOut; ///< After those that all have.
  };
  const Row kRows[] = {
    { "key", { kKey }, true, "w", "Tenant: w\r\n" },
    { "key and claim", { kKey, kClaim }, true, "w", "Tenant: w\r\n" },
    { "two claims", { kClaim, kClaim }, true, "w", "Tenant: w\r\n" },
    { "two keys", { kKey, kKey }, true, "", "" },
    { "claim without a key", { kClaim }, true, "", "" },
    { "another scheme", { { "Authorization", "Basic x" } }, true, "", "" },
  };
  for (const Row& row : kRows) {
    std::vector<HttpField> fields{ kHost, kId };
    fields.insert(fields.end(), row.mFields.begin(), row.mFields.end());
    StartCall call;
    call.mServer.mValue = "i-1";
    call.mHasWorkspaces = row.mHasWorkspaces;
    call.mWorkspace.mValue = row.mWorkspace;
    const std::string text =
      kWire.WriteCallHead(Head(fields), 2, call, Milliseconds(1200));
    const std::string expected =
      "POST /p/x?q=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
      "Deadline-Ms: 1200\r\nTarget-Instance: i-1\r\n" +
      row.mFieldsOut + "Content-Length: 2\r\n\r\n";
    STRCMP_EQUAL_TEXT(expected.c_str(), text.c_str(), row.mName);
  }
}

TEST(Platform, PassesKeyFieldsWithoutWorkspaces)
{
  StartCall call;
  const std::string text = kWire.WriteCallHead(
    Head(
      { kHost, kId, { "Authorization", "Bearer k1" }, { "Tenant", "theirs" } }),
    0,
    call,
    Milliseconds(1200));
  STRCMP_CONTAINS("Authorization: Bearer k1\r\nTenant: theirs\r\n",
                  text.c_str());
}

TEST(Platform, HashesKeyOfRequest)
{
  struct Row
  {
    std::vector<std::string> mValues; ///< Of the field.
    std::string mDigest;
  };
  const std::string digest = DigestOf("k1");
  const Row kRows[] = {
    { {}, "" },
    { { "Bearer k1" }, digest },
    { { "bEARER k1" }, digest },
    { { "Bearer k2" }, DigestOf("k2") },
    { { "Bearer " }, "" },
    { { "Bearer" }, "" },
    { { "Basic k1" }, "" },
    { { "k1" }, "" },
    { { "Bearer k1", "Bearer k1" }, "" },
  };
  for (const Row& row : kRows) {
    std::vector<HttpField> fields{ kHost, kId };
    for (const std::string& value : row.mValues) {
      fields.push_back({ "Authorization", value });
    }
    const auto read = kWire.ReadRequest(Head(fields), "body");
    const auto* request = std::get_if<RelayRequest>(&read);
    CHECK(request != nullptr);
    STRCMP_EQUAL(row.mDigest.c_str(), request->mKeyDigest.c_str());
  }
}

TEST(Platform, ReadsResponseFlags)
{
  struct Row
  {
    int mStatus;
    std::vector<HttpField> mFields;
    ResponseFlags mFlags;
  };
  const HttpField sign{ "Response-Signature", "s" };
  const Row kRows[] = {
    { 200, { kId, sign }, { true, true, false, false, false } },
    { 200,
      { { "Request-Id", "r2" }, sign },
      { false, true, false, false, false } },
    { 200, { sign }, { false, false, false, false, false } },
    { 200, { kId }, { true, false, false, false, false } },
    { 503, { { "Not-Executed", "1" } }, { true, false, true, false, false } },
    { 421, { kId }, { true, false, false, true, false } },
    { 200,
      { kId, sign, { "Content-Encoding", "gzip" } },
      { true, true, false, false, true } },
  };
  for (const Row& row : kRows) {
    HttpHead head = Head(row.mFields);
    head.mStatus = row.mStatus;
    const ResponseFlags flags = kWire.ReadReply(head, "r1");
    CHECK_EQUAL(row.mFlags.mIsForRequest, flags.mIsForRequest);
    CHECK_EQUAL(row.mFlags.mIsSigned, flags.mIsSigned);
    CHECK_EQUAL(row.mFlags.mIsNotRun, flags.mIsNotRun);
    CHECK_EQUAL(row.mFlags.mIsMisdirected, flags.mIsMisdirected);
    CHECK_EQUAL(row.mFlags.mIsEncoded, flags.mIsEncoded);
  }
}

TEST(Platform, FingerprintTellsRequestsApart)
{
  struct Row
  {
    const char* mMethod;
    const char* mHost;
    const char* mTarget;
    const char* mBody;
    bool mIsEqual;
  };
  const Row kRows[] = {
    { "GET", "h.example", "/p/x", "", true },
    { "GET", "h.example:80", "/p/x", "", true },
    { "POST", "h.example", "/p/x", "", false },
    { "GET", "other.example", "/p/x", "", false },
    { "GET", "h.example", "/p/y", "", false },
    { "GET", "h.example", "/p/x?q=1", "", false },
    { "GET", "h.example", "/p/x", "a", false },
  };
  const auto fingerprint = [](const Row& aRow) {
    HttpHead head;
    head.mMethod = aRow.mMethod;
    head.mTarget = aRow.mTarget;
    head.mFields = { { "Host", aRow.mHost }, kId };
    const auto read = kWire.ReadRequest(head, aRow.mBody);
    return std::get<RelayRequest>(read).mFingerprint;
  };
  for (const Row& row : kRows) {
    CHECK_EQUAL(row.mIsEqual, fingerprint(row) == fingerprint(kRows[0]));
  }
}

TEST(Platform, ReadsLimitsThatServersName)
{
  struct Row
  {
    std::vector<std::string> mValues;
    std::optional<std::int64_t> mPer1000Seconds;
  };
  const Row kRows[] = {
    { {}, std::nullopt },
    { { "8.8" }, 8800 },
    { { "1" }, 1000 },
    { { "0.25" }, 250 },
    { { "0" }, 0 },
    { { "0.12345" }, 123 },
    { { "-1" }, std::nullopt },
    { { "+1" }, std::nullopt },
    { { "" }, std::nullopt },
    { { "1e3" }, std::nullopt },
    { { "inf" }, std::nullopt },
    { { "nan" }, std::nullopt },
    { { "1,5" }, std::nullopt },
    { { "1." }, std::nullopt },
    { { "." }, std::nullopt },
    { { "0x10" }, std::nullopt },
    { { "1.5.2" }, std::nullopt },
    { { "999999999999999999999" }, std::nullopt },
    { { "2000000" }, std::nullopt },
    { { "2", "2" }, std::nullopt },
    { { "2", "x" }, std::nullopt },
  };
  for (const Row& row : kRows) {
    HttpHead head;
    head.mStatus = 200;
    head.mFields = { kId };
    for (const std::string& value : row.mValues) {
      head.mFields.push_back({ "Server-Limit", value });
    }
    const ResponseFlags flags = kWire.ReadReply(head, "r1");
    const std::string name = row.mValues.empty() ? "none" : row.mValues[0];
    CHECK_TEXT(row.mPer1000Seconds.has_value() == flags.mLimit.has_value(),
               name.c_str());
    CHECK_EQUAL_TEXT(!row.mValues.empty() && !row.mPer1000Seconds,
                     flags.mIsLimitMalformed,
                     name.c_str());
    if (flags.mLimit) {
      CHECK_EQUAL(*row.mPer1000Seconds, flags.mLimit->mPer1000Seconds);
    }
    CHECK(flags.mIsForRequest);
  }
}

TEST(Platform, ReadsWhetherAServerIsLeaving)
{
  struct Row
  {
    std::vector<const char*> mValues;
    bool mIsLeaving;
  };
  const Row kRows[] = {
    { {}, false },       { { "1" }, true },       { { "0" }, false },
    { { "" }, false },   { { "true" }, false },   { { "11" }, false },
    { { "01" }, false }, { { "1", "1" }, false }, { { "1, 1" }, false },
  };
  for (const Row& row : kRows) {
    for (const int status : { 200, 500, 503 }) {
      HttpHead head = Head({ kId });
      head.mStatus = status;
      for (const char* value : row.mValues) {
        head.mFields.push_back({ "server-leaving", value });
      }
      CHECK_EQUAL(row.mIsLeaving, kWire.ReadReply(head, "r1").mIsLeaving);
    }
  }
}

TEST(Platform, ReadsTimesThatServersNameWithARejection)
{
  struct Row
  {
    int mStatus;
    std::vector<const char*> mValues;
    std::optional<Duration> mExpected;
    bool mIsMalformed;
  };
  const Row kRows[] = {
    { 503, { "6" }, Milliseconds(6000), false },
    { 503, { "0" }, Duration{}, false },
    { 503, {}, std::nullopt, false },
    { 200, { "6" }, std::nullopt, false },
    { 429, { "6" }, std::nullopt, false },
    { 503, { "1.5" }, std::nullopt, true },
    { 503, { "-1" }, std::nullopt, true },
    { 503, { "" }, std::nullopt, true },
    { 503, { "99999999999999" }, std::nullopt, true },
    { 503, { "9999999999999999999999" }, std::nullopt, true },
    { 503, { "Fri, 04 Dec 2026 18:11:13 GMT" }, std::nullopt, true },
    { 503, { "6", "6" }, std::nullopt, true },
  };
  for (const Row& row : kRows) {
    HttpHead head = Head({ kId });
    head.mStatus = row.mStatus;
    for (const char* value : row.mValues) {
      head.mFields.push_back({ "Retry-After", value });
    }
    const ResponseFlags flags = kWire.ReadReply(head, "r1");
    CHECK(flags.mBackoff == row.mExpected);
    CHECK_EQUAL(row.mIsMalformed, flags.mIsBackoffMalformed);
  }
}

TEST(Platform, RejectsCacheIdsThatNoCallCanHold)
{
  struct Row
  {
    std::string mBody;
    std::string mId;
    std::string mTarget; ///< Of the call that frees it.
  };
  const Row kRows[] = {
    { R"({"KvHandle":"3fa09c41b7d5"})", "3fa09c41b7d5", "3fa09c41b7d5" },
    { R"({"KvHandle":"a b?c#d%e"})", "a b?c#d%e", "a%20b%3Fc%23d%25e" },
    { R"({"KvHandle":"\u6f22"})", "\xe6\xbc\xa2", "%E6%BC%A2" },
    { R"({"KvHandle":""})", "", "" },
    { R"({"KvHandle":" a"})", "", "" },
    { R"({"KvHandle":"a\r\nKv-Hold: 1"})", "", "" },
    { R"({"KvHandle":"a\u0007"})", "", "" },
    { R"({"KvHandle":7})", "", "" },
    { R"({"KvHandle":"\u0000"})", "", "" },
    { R"(["KvHandle"])", "", "" },
  };
  for (const Row& row : kRows) {
    const std::string id = kWire.ReadCacheId(row.mBody);
    STRCMP_EQUAL_TEXT(row.mId.c_str(), id.c_str(), row.mBody.c_str());
    if (!id.empty()) {
      const std::string text = kWire.WriteFreeKv({ { "10.0.0.1:1" }, id });
      const std::string expected =
        "DELETE /heatherfork/kv-handle/" + row.mTarget +
        " HTTP/1.1\r\nHost: 10.0.0.1:1\r\nContent-Length: 0\r\n\r\n";
      STRCMP_EQUAL(expected.c_str(), text.c_str());
    }
  }
}
