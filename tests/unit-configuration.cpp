#include <chrono>
#include <string>
#include <vector>

#include "heatherfork/configuration_document.h"

#include "valid_documents.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::tests;

TEST_GROUP(Configuration){};

TEST(Configuration, ParsesValidDocuments)
{
  const ConfigurationBuildResult result = BuildFromDocuments(ValidDocuments());
  STRCMP_EQUAL("", ToLines(result.mMistakes).c_str());
  const Configuration expected{
    7,
    { { { "summary" }, true, false, Milliseconds(60000), 1 },
      { { "reservation" }, false, true, Milliseconds(5000), 9 } },
    { { { "clerk" }, { "v1" }, { { "venue" } }, { "summary" }, { "v2" }, 5 } },
    { { { "clerk" },
        { "clerk" },
        {},
        1,
        1,
        { { { "p1" },
            { "10.0.0.1:80" },
            { "north" },
            Role::kPrefill,
            4,
            8,
            true,
            false },
          { { "d1" },
            { "[fd00::1]:80" },
            { "north" },
            Role::kDecode,
            20,
            90,
            false,
            false } } },
      { { "desk" },
        {},
        { "booking" },
        0,
        0,
        { { { "b1" },
            { "10.0.0.3:80" },
            { "south" },
            Role::kPlain,
            50,
            0,
            false,
            true } } } },
    { { { "booking" }, "reserve", { "reservation" } } },
    { { { "parish" }, kKeyDigest, 40, 2 } },
    { Milliseconds(5000),
      Milliseconds(600000),
      100000,
      10000,
      Milliseconds(800),
      2000,
      2 }
  };
  CHECK(*result.mConfiguration == expected);
}

TEST(Configuration, ReportsAllMistakesOrderedByPart)
{
  Documents documents = ValidDocuments();
  documents["models"] = R"({"models": [{"name": 1, "version": "",
    "adapters": {}, "default_class": "x", "next": null}]})";
  documents["tenant/parish"] = "[]";
  documents.erase("limits");
  STRCMP_EQUAL(
    "head /parts: expected the part limits, found no such part (606 "
    "missing-part)\n"
    "models /models/0/name: expected a name of 1 to 64 letters, digits, '.', "
    "'_' or '-' that starts with a letter or digit, found an integer (611 "
    "wrong-type)\n"
    "models /models/0/version: expected a name of 1 to 64 letters, digits, "
    "'.', '_' or '-' that starts with a letter or digit, found \"\" (615 "
    "bad-name)\n"
    "models /models/0/adapters: expected an array, found an object (611 "
    "wrong-type)\n"
    "models /models/0/default_class: expected a class that the part classes "
    "declares, found \"x\" (622 unknown-reference)\n"
    "pool/clerk /model: expected a model that the part models declares, found "
    "\"clerk\" (622 unknown-reference)\n"
    "tenant/parish: expected an object, found an array (611 wrong-type)",
    ToLines(BuildFromDocuments(documents).mMistakes).c_str());
}

TEST(Configuration, UnreadablePartCausesNoMistakesInOtherParts)
{
  Documents documents = ValidDocuments();
  documents["classes"] = "{";
  documents["models"] = "";
  documents["services"] = "null null";
  STRCMP_EQUAL(
    "classes: expected one JSON document in UTF-8, found 1 bytes that are "
    "none (601 bad-json)\n"
    "models: expected one JSON document in UTF-8, found 0 bytes that are none "
    "(601 bad-json)\n"
    "services: expected one JSON document in UTF-8, found 9 bytes that are "
    "none (601 bad-json)",
    ToLines(BuildFromDocuments(documents).mMistakes).c_str());
}

TEST(Configuration, LimitsAndCountsReportedMistakes)
{
  Documents documents = ValidDocuments();
  std::string& text = documents["pool/desk"];
  text = R"({"service": "booking", "servers": [0)";
  for (int n = 1; n < 1100; ++n) {
    text += ", 0";
  }
  text += "]}";
  const auto mistakes = BuildFromDocuments(documents).mMistakes;
  LONGS_EQUAL(1001, mistakes.size());
  STRCMP_EQUAL("head: expected at most 1000 mistakes, found 1100 (608 "
               "too-many-mistakes)",
               ToString(mistakes.back()).c_str());
}

TEST_GROUP_BASE(ConfigurationBytes, Utest){};

TEST(ConfigurationBytes, RefusesMissingPartsAndDigestMismatches)
{
  const Documents documents = ValidDocuments();
  ConfigurationHead head{ 1, {} };
  ConfigurationParts parts;
  for (const auto& [key, bytes] : documents) {
    head.mDigests[key] = DigestOf(bytes);
    parts[DigestOf(bytes)] = bytes;
  }
  const std::string missingDigest(64, '0');
  const std::string mismatchedDigest(64, '1');
  head.mDigests["limits"] = missingDigest;
  head.mDigests["models"] = mismatchedDigest;
  parts[mismatchedDigest] = "abc";
  CHECK(MissingDigests(head, parts) ==
        std::vector<std::string>{ missingDigest });
  const std::string expected =
    "limits: expected bytes with the SHA-256 " + missingDigest +
    ", found none (604 part-absent)\nmodels: expected bytes with the SHA-256 " +
    mismatchedDigest +
    ", found ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad "
    "(605 digest-mismatch)";
  STRCMP_EQUAL(expected.c_str(),
               ToLines(BuildConfiguration(head, parts).mMistakes).c_str());
}

TEST(ConfigurationBytes, RefusesTooLargeAndTooDeepParts)
{
  Documents documents = ValidDocuments();
  documents["limits"] = std::string(kMaxDocumentBytes + 1, ' ');
  documents["classes"] = std::string(100000, '[');
  STRCMP_EQUAL(
    "classes: expected at most 8 levels of JSON, found more (603 too-deep)\n"
    "limits: expected at most 1048576 bytes, found 1048577 bytes (602 "
    "too-large)",
    ToLines(BuildFromDocuments(documents).mMistakes).c_str());
}

TEST(ConfigurationBytes, ParsesValidHeadAndReportsMistakes)
{
  const std::string digest(64, 'b');
  const std::string otherParts = R"("limits": ")" + digest +
                                 R"(", "models": ")" + digest +
                                 R"(", "services": ")" + digest + R"(")";
  const std::string validHead = R"({"revision": 3, "parts": {"classes": ")" +
                                digest + R"(", )" + otherParts + "}}";
  const HeadParseResult result = ParseHead(validHead);
  CHECK(result.mHead.has_value());
  LONGS_EQUAL(3, result.mHead->mRevision);
  LONGS_EQUAL(4, result.mHead->mDigests.size());
  STRCMP_EQUAL(
    "head /revision: expected an integer from 1 to 9223372036854775807, found "
    "0 (616 out-of-range)\n"
    "head /parts/limits: expected 64 lower-case hex digits of a SHA-256, found "
    "\"AB\" (617 bad-value)\n"
    "head /parts: expected classes, limits, models, services, pool/NAME or "
    "tenant/NAME, found \"pool/\" (607 unknown-part)\n"
    "head /parts/pool~1: expected 64 lower-case hex digits of a SHA-256, found "
    "an integer (611 wrong-type)\n"
    "head /parts: expected each key once, found another \"limits\" (614 "
    "duplicate-key)\n"
    "head /parts: expected the part classes, found no such part (606 "
    "missing-part)\n"
    "head /parts: expected the part models, found no such part (606 "
    "missing-part)\n"
    "head /parts: expected the part services, found no such part (606 "
    "missing-part)\n"
    "head: expected only the keys revision, parts, found \"x\" (613 "
    "unknown-key)",
    ToLines(ParseHead(R"({"revision": 0, "parts": {"pool/": 1, "limits": "AB",
      "limits": "AB"}, "x": 1})")
              .mMistakes)
      .c_str());
}

TEST(ConfigurationBytes, ParsesHeadWithManyKeysWithinTimeLimit)
{
  // A key lookup that is linear takes more than 30 s with this input.
  std::string text = R"({"revision": 1, "parts": {"0": 0)";
  for (int n = 1; n < 100000; ++n) {
    text += ",\"" + std::to_string(n) + "\":0";
  }
  const auto start = std::chrono::steady_clock::now();
  const auto mistakes = ParseHead(text + "}}").mMistakes;
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(10));
  STRCMP_EQUAL("head: expected at most 1000 mistakes, found 200004 (608 "
               "too-many-mistakes)",
               ToString(mistakes.back()).c_str());
}

TEST_GROUP_BASE(ConfigurationMistakes, Utest){};

TEST(ConfigurationMistakes, CodesAreAscendingAndFindTheirEntries)
{
  int previousCode = 600;
  for (const MistakeInfo& info : AllMistakes()) {
    CHECK(static_cast<int>(info.mCode) > previousCode);
    previousCode = static_cast<int>(info.mCode);
    CHECK(&InfoOf(info.mCode) == &info);
  }
}
