#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/text.h"
#include "platform/wire.h"

#include <cctype>
#include <cstdio>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const platform::Wire kWire;

} // namespace

TEST_GROUP(PlatformStore){};

TEST(PlatformStore, ReadsWorkspaces)
{
  const std::string kRest = R"("Version":3,"Services":[],"Limits":{})";
  const std::string kRoutes =
    R"("Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Kind":"stream",)"
    R"("TimeoutMs":1,"Service":"s","Anonymous":true}])";
  struct Row
  {
    const char* mName;
    std::string mWorkspaces; ///< Empty: none are configured.
    bool mNeedsKeys;
    std::vector<RoutedWorkspace> mExpected;
  };
  RoutedWorkspace full;
  full.mName.mValue = "w";
  full.mKeyDigests = { DigestOf("k1"), DigestOf("k2") };
  full.mRank = 2;
  full.mQuota = { QuotaUnit::kTokens, 12.5, 100, 7 };
  RoutedWorkspace plain;
  plain.mName.mValue = "v";
  const Row kRows[] = {
    { "none", "", false, {} },
    { "empty list", "[]", true, {} },
    { "all fields",
      R"([{"Name":"w","ApiKeys":["k1","k2"],"Priority":2,"Unit":"tokens",)"
      R"("RatePerS":12.5,"Burst":100,"PlainTokens":7}])",
      true,
      { full } },
    { "a name alone", R"([{"Name":"v"}])", true, { plain } },
    { "unreadable ones",
      R"([{"Name":""},{"ApiKeys":["k1"]},7,{"Name":"v","ApiKeys":[7]}])",
      true,
      { plain } },
    { "names that no field of a call can hold",
      R"([{"Name":"w\r\nKv-Hold: 1","ApiKeys":["k1"]},{"Name":" w"},)"
      R"({"Name":"w\u007f"},{"Name":"w\t"},{"Name":"v"}])",
      true,
      { plain } },
  };
  for (const Row& row : kRows) {
    const std::string list =
      row.mWorkspaces.empty() ? "" : R"("Tenants":)" + row.mWorkspaces + ",";
    std::string value = "{" + list;
    value.append(kRoutes).append(",").append(kRest).append("}");
    std::string reason;
    const RoutingPtr routing = kWire.ReadRouting(value, reason);
    CHECK_TEXT(routing != nullptr, reason.c_str());
    CHECK_EQUAL_TEXT(row.mNeedsKeys, routing->mNeedsKeys, row.mName);
    CHECK_TEXT(row.mExpected == routing->mWorkspaces, row.mName);
    CHECK_TEXT(routing->mRoutes.at(0).mIsAnonymous, row.mName);
  }
}

TEST(PlatformStore, RejectsMalformedReplicaEntries)
{
  struct Row
  {
    std::string mField; ///< Replaces, or adds, a field of a valid entry.
    std::string mValue;
    std::string mReason; ///< Empty if the entry is valid.
  };
  const std::string kWrongType = "a field is missing or of another type";
  const auto badAddress = [](const std::string& aText) {
    return "address \"" + aText +
           "\" is not an IP address and a port, such as \"10.0.0.1:8080\" or "
           "\"[fd00::1]:8080\"";
  };
  const Row kRows[] = {
    { "State", R"("ready")", "" },
    { "State", R"("draining")", "" },
    { "State", R"("odd")", "state \"odd\" is not known" },
    { "State", R"("")", "state \"\" is not known" },
    { "State", "true", kWrongType },
    { "State", "", kWrongType },
    { "Phase", R"("decode")", "" },
    { "Phase", "null", "" },
    { "Phase", R"("odd")", "phase \"odd\" is not known" },
    { "Phase", "7", kWrongType },
    { "Slots", "1", "" },
    { "Slots", "4.0", "" },
    { "Slots", "1000000", "" },
    { "Slots", "0", "0 slots are not 1 to 1000000" },
    { "Slots", "-1", "-1 slots are not 1 to 1000000" },
    { "Slots", "1000001", "1000001 slots are not 1 to 1000000" },
    { "Slots", "4294967297", "4294967297 slots are not 1 to 1000000" },
    { "Slots", "1e15", kWrongType },
    { "Slots", R"("4")", kWrongType },
    { "Slots", "[4]", kWrongType },
    { "Slots", "null", kWrongType },
    { "Slots", "", kWrongType },
    { "born", "1700000000000", "" },
    { "born", "null", "" },
    { "born", R"("1")", kWrongType },
    { "born", "{}", kWrongType },
    { "Address", R"("10.0.0.1:65535")", "" },
    { "Address", R"("")", badAddress("") },
    { "Address", R"("10.0.0.1")", badAddress("10.0.0.1") },
    { "Address", R"("10.0.0.1:0")", badAddress("10.0.0.1:0") },
    { "Address", R"("10.0.0.1:65536")", badAddress("10.0.0.1:65536") },
    { "Address", R"("a.example:1")", badAddress("a.example:1") },
    { "Address", R"("10.0.0.1:1\r\nX: y")", badAddress("10.0.0.1:1\r\nX: y") },
    { "Address", R"(" 10.0.0.1:1")", badAddress(" 10.0.0.1:1") },
    { "Address", "7", kWrongType },
    { "Service", "7", kWrongType },
    { "Service", "", kWrongType },
    { "Zone", "null", kWrongType },
    { "Zone", "", kWrongType },
    { "More", "{\"a\":[1,\"b\"]}", "" },
    { "More", "1e999", "no JSON" },
    { "More", "\"\xff\"", "no JSON" },
    { "More", '"' + std::string(65536, 'a') + '"', "a value of 65621 bytes" },
  };
  for (const Row& row : kRows) {
    std::map<std::string, std::string> fields{ { "Service", R"("s")" },
                                               { "Address", R"("10.0.0.1:1")" },
                                               { "Zone", R"("z")" },
                                               { "Slots", "4" },
                                               { "State", R"("ready")" } };
    fields[row.mField] = row.mValue;
    std::string text;
    for (const auto& [name, value] : fields) {
      if (!value.empty()) {
        text.append(text.empty() ? "{\"" : ",\"").append(name);
        text.append("\":").append(value);
      }
    }
    std::string reason;
    const auto replica = kWire.ReadReplica("servers/i-1", text + "}", reason);
    STRCMP_EQUAL_TEXT(
      row.mReason.c_str(), reason.c_str(), text.substr(0, 200).c_str());
    CHECK_EQUAL(row.mReason.empty(), replica.has_value());
  }
  for (const std::string text : { "", "\xff\x01", "[]", "7", "null", "{}" }) {
    std::string reason;
    CHECK_FALSE(kWire.ReadReplica("servers/i-1", text, reason));
    CHECK_FALSE(reason.empty());
  }
}

TEST(PlatformStore, RejectsKeysThatNameNoReplica)
{
  struct Row
  {
    std::string mKey;
    std::string mName; ///< Empty if it names no replica.
  };
  const Row kRows[] = {
    { "servers/i-1", "i-1" },
    { "servers/a b&c+d#e%f", "a b&c+d#e%f" },
    { "servers/\xe6\xbc\xa2", "\xe6\xbc\xa2" },
    { "servers/servers/a", "servers/a" },
    { "servers/", "" },
    { "servers", "" },
    { "", "" },
    { "op/config", "" },
    { "Servers/i-1", "" },
    { "servers/ i-1", "" },
    { "servers/i-1 ", "" },
    { "servers/i-1\t", "" },
    { "servers/i\t1", "" },
    { "servers/i-1\r\nX: y", "" },
    { "servers/i-1\n", "" },
    { "servers/i\r1", "" },
    { std::string("servers/i\0", 10), "" },
    { "servers/i\x1b[2J", "" },
    { "servers/i\x7f", "" },
  };
  for (const Row& row : kRows) {
    std::string reason;
    const auto replica = kWire.ReadReplica(
      row.mKey,
      R"({"Service":"s","Address":"10.0.0.1:1","Zone":"z","Slots":4,"State":"ready"})",
      reason);
    STRCMP_EQUAL_TEXT(row.mName.c_str(),
                      replica ? replica->mName.mValue.c_str() : "",
                      row.mKey.c_str());
    STRCMP_EQUAL(row.mName.empty() ? "the key names no replica" : "",
                 reason.c_str());
  }
}

TEST(PlatformStore, ReadsRoutesFromConfiguration)
{
  std::string reason;
  const RoutingPtr routing = kWire.ReadRouting(
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",)"
    R"("Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,)"
    R"("Backends":[{"Service":"s","Weight":9},{"Service":"t","Weight":1}],)"
    R"("MaxAttempts":2}],"Services":[{"Name":"s","MaxConnections":3,)"
    R"("Engine":{"KvCapacityTokens":50}}],"Limits":{"MaxHeaderBytes":99}})",
    reason);
  CHECK(routing != nullptr);
  const Route& route = routing->mRoutes.front();
  CHECK_EQUAL(7U, routing->mRevision);
  CHECK(route.mRepeat == RepeatRule::kMayRepeat);
  CHECK(route.mTarget == Milliseconds(300));
  CHECK_EQUAL(2U, route.mShares.size());
  CHECK_EQUAL(50, routing->mServices.front().mTokenCapacity);
  CHECK_EQUAL(99U, routing->mLimits.mMaxHeaderBytes);
  CHECK(kWire.ReadRouting("{}", reason) == nullptr);
}

TEST(PlatformStore, SkipsOddPartsOfAConfiguration)
{
  const std::string kRoute =
    R"({"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"stream","Service":"s"})";
  const std::string kOddParts[] = {
    "7",
    "null",
    "[]",
    "{}",
    R"("r")",
    R"({"Name":"o","Host":7,"PathPrefix":"/p/","Kind":"stream","Service":"s"})",
    R"({"Name":"o","Host":"h","PathPrefix":"/p/","Kind":"stream","Service":7})",
    R"({"Name":"o","Host":"h","PathPrefix":"/p/","Kind":"stream","Backends":[7]})",
  };
  for (const std::string& odd : kOddParts) {
    std::string reason;
    const std::string text = detail::Concat(R"({"Version":7,"Routes":[)",
                                            odd,
                                            ",",
                                            kRoute,
                                            ",",
                                            odd,
                                            R"(],"Services":[)",
                                            odd,
                                            R"(,{"Name":"s"}],"Limits":)",
                                            odd,
                                            "}");
    const RoutingPtr routing = kWire.ReadRouting(text, reason);
    CHECK_TEXT(routing != nullptr, odd.c_str());
    CHECK_EQUAL(1U, routing->mRoutes.size());
    STRCMP_EQUAL("r", routing->mRoutes[0].mName.c_str());
    STRCMP_EQUAL("s", routing->mServices.back().mName.mValue.c_str());
    CHECK(routing->mLimits == CallerLimits{});
  }
}

TEST(PlatformStore, ClampsNumbersOfAConfiguration)
{
  constexpr int kMost = 2147483647;
  struct Row
  {
    std::string mNumber;
    int mExpected;
  };
  const Row kRows[] = {
    { "7", 7 },
    { "7.0", 7 },
    { "0", 0 },
    { "-1", 0 },
    { "2147483647", kMost },
    { "2147483648", kMost },
    { "4294967303", kMost },
    { "9223372036854775807", kMost },
    { "-9223372036854775808", 0 },
  };
  for (const Row& row : kRows) {
    const std::string& n = row.mNumber;
    std::string reason;
    const std::string text = detail::Concat(
      R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",)",
      R"("Kind":"stream","Service":"s","TimeoutMs":)",
      n,
      R"(,"MaxAttempts":)",
      n,
      R"(,"Priority":)",
      n,
      R"(}],"Services":[{"Name":"s","MaxConnections":)",
      n,
      R"(}],"Limits":{"MaxHeaderBytes":)",
      n,
      R"(,"IdleTimeoutMs":)",
      n,
      "}}");
    const RoutingPtr routing = kWire.ReadRouting(text, reason);
    const Route& route = routing->mRoutes.at(0);
    CHECK(route.mTimeout == Milliseconds(row.mExpected));
    CHECK_EQUAL(row.mExpected, route.mMaxAttempts);
    CHECK_EQUAL(row.mExpected, route.mRank);
    CHECK_EQUAL(row.mExpected, routing->mServices.at(0).mMaxConnections);
    CHECK_EQUAL(static_cast<std::size_t>(row.mExpected),
                routing->mLimits.mMaxHeaderBytes);
    CHECK(routing->mLimits.mIdleTimeout == Milliseconds(row.mExpected));
  }
}

TEST(PlatformStore, ReadsEraOfTheStore)
{
  struct Row
  {
    int mStatus;
    const char* mField; ///< Null: not sent.
    std::optional<StoreEra> mExpected;
  };
  const Row kRows[] = {
    { 200, "3", 3 },
    { 410, "4", 4 },
    { 503, "4", 4 },
    { 200, nullptr, std::nullopt },
    { 200, "", std::nullopt },
    { 200, "-1", std::nullopt },
    { 200, "x", std::nullopt },
  };
  for (const Row& row : kRows) {
    HttpHead head;
    head.mStatus = row.mStatus;
    if (row.mField != nullptr) {
      head.mFields.push_back({ "Store-Era", row.mField });
    }
    const StoreAnswer answer =
      kWire.ReadStoreAnswer(StoreCall{}, head, R"({"events": [], "At": 1})");
    CHECK(answer.mEra == row.mExpected);
  }
}

TEST(PlatformStore, EscapesKeysInStoreCalls)
{
  struct Row
  {
    const char* mName;
    StoreCall::Kind mKind;
    std::string StoreCall::*mKey;
    std::string mBefore;
    std::string mAfter;
  };
  const Row kRows[] = {
    { "key",
      StoreCall::Kind::kItem,
      &StoreCall::mPath,
      "GET /heatherfork/kv-key?Key=",
      " HTTP/1.1\r\nHost: s:1\r\n\r\n" },
    { "prefix",
      StoreCall::Kind::kRange,
      &StoreCall::mPath,
      "GET /heatherfork/kv-range?PathPrefix=",
      " HTTP/1.1\r\nHost: s:1\r\n\r\n" },
    { "last key of a page",
      StoreCall::Kind::kRange,
      &StoreCall::mFrom,
      "GET /heatherfork/kv-range?PathPrefix=&after=",
      " HTTP/1.1\r\nHost: s:1\r\n\r\n" },
    { "prefix of a watch",
      StoreCall::Kind::kWatch,
      &StoreCall::mPath,
      "GET /heatherfork/kv-watch?PathPrefix=",
      "&after=0&WaitMs=0 HTTP/1.1\r\nHost: s:1\r\n\r\n" },
  };
  const std::string_view kPlain = "-._~/";
  for (const Row& row : kRows) {
    for (int byte = 0; byte < 256; ++byte) {
      const char character = static_cast<char>(byte);
      StoreCall call;
      call.mKind = row.mKind;
      call.*row.mKey = std::string("a") + character + "b";
      const std::string text = kWire.WriteStoreCall({ "s:1" }, call);
      const bool isAlphanumeric =
        byte < 0x80 && std::isalnum(static_cast<unsigned char>(byte)) != 0;
      char escaped[] = "%00";
      std::snprintf(escaped, sizeof(escaped), "%%%02X", byte);
      const std::string written =
        isAlphanumeric || kPlain.find(character) != std::string_view::npos
          ? std::string(1, character)
          : escaped;
      const std::string expected =
        row.mBefore + "a" + written + "b" + row.mAfter;
      STRCMP_EQUAL_TEXT(expected.c_str(), text.c_str(), row.mName);
      CHECK_EQUAL(expected.size(), text.size());
    }
  }
}

TEST(PlatformStore, ReadsItemsOfTheStoreOneByOne)
{
  struct Row
  {
    const char* mName;
    std::string mItems;
    std::string mRead; ///< KEY=VALUE@REVISION of each item.
    std::string mLastKey;
  };
  const std::string kItem = R"({"Key":"a","Value":"eA==","Revision":4})";
  const Row kRows[] = {
    { "none", "", "", "" },
    { "sound", kItem, "a=x@4 ", "a" },
    { "no revision", R"({"Key":"b","Value":"eA=="})", "b=@9 ", "b" },
    { "no value", R"({"Key":"b","Revision":5})", "b=@5 ", "b" },
    { "no base64", R"({"Key":"b","Value":"%","Revision":5})", "b=@5 ", "b" },
    { "no JSON",
      kItem + R"(,{"Key":"b","Revision":1e999})",
      "a=x@4 b=@9 ",
      "b" },
    { "no text", kItem + ",{\"Key\":\"b\xff\"}", "a=x@4 b\xff=@9 ", "b\xff" },
    { "no key", kItem + R"(,{"Key":7},{"Value":"eA=="},5)", "a=x@4 ", "a" },
    { "no key and no JSON",
      kItem + R"(,{"Key":7,"Value":nul})",
      "a=x@4 ",
      "a" },
    { "before a sound one",
      R"({"Key":"\ud800"},{"More":"\u0000"},)" + kItem,
      "\xed\xa0\x80=@9 a=x@4 ",
      "a" },
  };
  const std::pair<StoreCall::Kind, std::string> kKinds[] = {
    { StoreCall::Kind::kRange, "items" },
    { StoreCall::Kind::kWatch, "events" },
  };
  HttpHead head;
  head.mStatus = 200;
  for (const Row& row : kRows) {
    for (const auto& [kind, list] : kKinds) {
      StoreCall call;
      call.mKind = kind;
      const StoreAnswer answer = kWire.ReadStoreAnswer(
        call,
        head,
        R"({"At":9,"HasMore":true,")" + list + "\":[" + row.mItems + "]}");
      std::string read;
      for (const StoreItem& item : answer.mItems) {
        read += item.mKey + "=" + item.mValue + "@" +
                std::to_string(item.mRevision) + " ";
      }
      CHECK_TEXT(answer.mStatus == StoreAnswer::Status::kOk, row.mName);
      STRCMP_EQUAL_TEXT(row.mRead.c_str(), read.c_str(), row.mName);
      STRCMP_EQUAL_TEXT(
        row.mLastKey.c_str(), answer.mLastKey.c_str(), row.mName);
      CHECK_EQUAL(9, answer.mAt);
      CHECK_TRUE(answer.mHasMore);
    }
  }
}
