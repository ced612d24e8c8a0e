#include "heatherfork/detail/json/split.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork::detail::json;

namespace {

const std::string kMissing = "missing";

std::string
ToText(const std::optional<SplitDocument>& aSplit)
{
  if (!aSplit) {
    return kMissing;
  }
  std::string text = aSplit->mRest;
  for (const std::string_view item : aSplit->mItems) {
    text.append(" | ").append(item);
  }
  return text;
}

} // namespace

TEST_GROUP(JsonSplit){};

TEST(JsonSplit, SplitsAtArrayWithoutReadingItems)
{
  struct Row
  {
    std::string mDocument;
    std::string mExpected;
  };
  const Row kRows[] = {
    { R"({"a":1,"items":[],"b":2})", R"({"a":1,"items":[],"b":2})" },
    { R"({"items":[1,"x",{"y":[2]}],"b":2})",
      R"({"items":[],"b":2} | 1 | "x" | {"y":[2]})" },
    { " { \"items\" : [ 1 , 2 ] } ", " { \"items\" : [] }  | 1 | 2" },
    { R"({"items":["],}","\"]","\\"]})",
      R"({"items":[]} | "],}" | "\"]" | "\\")" },
    { "{\"items\":[\"\xff\n\",Infinity,nul]}",
      "{\"items\":[]} | \"\xff\n\" | Infinity | nul" },
    { R"({"other":{"items":[1]},"items":[2]})",
      R"({"other":{"items":[1]},"items":[]} | 2)" },
    { "", kMissing },
    { "{}", kMissing },
    { "[]", kMissing },
    { R"({"items":5})", kMissing },
    { R"({"items":{}})", kMissing },
    { R"({"items":[1,]})", kMissing },
    { R"({"items":[1 2]})", kMissing },
    { R"({"items":[1})", kMissing },
    { R"({"items":[1])", kMissing },
    { R"({"items":["1]})", kMissing },
    { R"({"items":[1]}x)", kMissing },
    { R"({items:[1]})", kMissing },
    { R"({"items":["\)", kMissing },
  };
  for (const Row& row : kRows) {
    const auto split = SplitAt(row.mDocument, "items");
    STRCMP_EQUAL_TEXT(
      row.mExpected.c_str(), ToText(split).c_str(), row.mDocument.c_str());
  }
}

TEST(JsonSplit, FindsStringsThatNoJsonReaderTakes)
{
  struct Row
  {
    std::string mObject;
    std::string mExpected;
  };
  const Row kRows[] = {
    { R"({"Key":"a/b"})", "a/b" },
    { R"({"Value":1e999,"Key":"a"})", "a" },
    { R"({"More":{"Key":"b"},"Key":"a"})", "a" },
    { R"({"Key":""})", "" },
    { R"({"Key":"\"\\\/\b\f\n\r\t"})", "\"\\/\b\f\n\r\t" },
    { R"({"Key":"\u0041\u00e9\u6f22"})", "A\xc3\xa9\xe6\xbc\xa2" },
    { R"({"Key":"\ud83d\ude00"})", "\xf0\x9f\x98\x80" },
    { R"({"Key":"\udbff\udfff"})", "\xf4\x8f\xbf\xbf" },
    { R"({"Key":"a\u0000b"})", std::string("a\0b", 3) },
    { R"({"Key":"\ud800"})", "\xed\xa0\x80" },
    { R"({"Key":"\ud800x"})", "\xed\xa0\x80x" },
    { R"({"Key":"\ude00\ud83d"})", "\xed\xb8\x80\xed\xa0\xbd" },
    { "{\"Key\":\"a\xff\xc0\"}", "a\xff\xc0" },
    { "{\"Key\":\"a\nb\"}", "a\nb" },
    { R"({"Key":"\x41\u12"})", "x41u12" },
    { R"({"Key":7})", kMissing },
    { R"({"Key":["a"]})", kMissing },
    { R"({"Key":"})", kMissing },
    { R"({"Value":"a"})", kMissing },
    { R"("Key")", kMissing },
    { "", kMissing },
  };
  for (const Row& row : kRows) {
    const std::string found = FindString(row.mObject, "Key").value_or(kMissing);
    CHECK_TEXT(row.mExpected == found, row.mObject.c_str());
  }
}
