#include <string>

#include "heatherfork/configuration_document.h"

#include "valid_documents.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using namespace heatherfork::tests;

namespace {

/// An edit of the valid documents and the single error text it must cause.
struct DocumentChange
{
  const char* mPart;
  const char* mFrom;
  const char* mTo;
  const char* mMessage;
};

void
CheckReportedMistake(const DocumentChange& aDocumentChange)
{
  Documents documents = ValidDocuments();
  std::string& text = documents[aDocumentChange.mPart];
  const std::string from = aDocumentChange.mFrom;
  const auto at = text.find(from);
  CHECK_TEXT(at != std::string::npos, aDocumentChange.mMessage);
  text.replace(at, from.size(), aDocumentChange.mTo);
  const ConfigurationBuildResult result = BuildFromDocuments(documents);
  STRCMP_EQUAL(aDocumentChange.mMessage, ToLines(result.mMistakes).c_str());
  CHECK(result.mConfiguration == nullptr);
}

} // namespace

TEST_GROUP_BASE(ConfigurationValues, Utest){};

TEST(ConfigurationValues, ReportsLocationOfEachInvalidValue)
{
  constexpr DocumentChange kChanges[] = {
    { "classes",
      R"("priority": 1)",
      R"("priority": 1, "colour": 1)",
      "classes /classes/0: expected only the keys name, may_wait, "
      "must_not_repeat, deadline_ms, priority, found \"colour\" (613 "
      "unknown-key)" },
    { "classes",
      R"(, "priority": 9)",
      "",
      "classes /classes/1: expected the key \"priority\", found no such key "
      "(612 missing-key)" },
    { "classes",
      R"("priority": 9)",
      R"("priority": 1.5)",
      "classes /classes/1/priority: expected an integer from 0 to 100, found "
      "another number (611 wrong-type)" },
    { "classes",
      R"("priority": 9)",
      R"("priority": 18446744073709551615)",
      "classes /classes/1/priority: expected an integer from 0 to 100, found "
      "another number (611 wrong-type)" },
    { "classes",
      R"("may_wait": true)",
      R"("may_wait": "yes")",
      "classes /classes/0/may_wait: expected a boolean, found a string of 3 "
      "bytes (611 wrong-type)" },
    { "classes",
      R"("deadline_ms": 60000)",
      R"("deadline_ms": 86400001)",
      "classes /classes/0/deadline_ms: expected an integer from 1 to 86400000, "
      "found 86400001 (616 out-of-range)" },
    { "limits",
      R"("max_queued": 10000)",
      R"("max_queued": -1)",
      "limits /max_queued: expected an integer from 0 to 1000000, found -1 "
      "(616 out-of-range)" },
    { "models",
      R"("share_percent": 5)",
      R"("share_percent": 101)",
      "models /models/0/next/share_percent: expected an integer from 0 to 100, "
      "found 101 (616 out-of-range)" },
    { "pool/clerk",
      "10.0.0.1:80",
      "router.example:80",
      "pool/clerk /servers/0/address: expected an IP address and a port, such "
      "as \"10.0.0.1:8080\" or \"[fd00::1]:8080\", found \"router.example:80\" "
      "(617 bad-value)" },
    { "pool/clerk",
      "10.0.0.1:80",
      "10.0.0.1:65536",
      "pool/clerk /servers/0/address: expected an IP address and a port, such "
      "as \"10.0.0.1:8080\" or \"[fd00::1]:8080\", found \"10.0.0.1:65536\" "
      "(617 bad-value)" },
    { "pool/desk",
      R"("zone": "south")",
      R"("zone": "south\n<b>")",
      "pool/desk /servers/0/zone: expected a name of 1 to 64 letters, digits, "
      "'.', '_' or '-' that starts with a letter or digit, found "
      "\"south?<b>\" (615 bad-name)" },
    { "pool/desk",
      R"("leaving": true)",
      R"("leaving": true, "role": "decode")",
      "pool/desk /servers/0: expected only the keys name, address, zone, "
      "slots, leaving, found \"role\" (613 unknown-key)" },
    { "tenant/parish",
      "aaaa",
      "",
      "tenant/parish /key_sha256: expected 64 lower-case hex digits of a "
      "SHA-256, found a string of 60 bytes (617 bad-value)" },
    { "tenant/parish",
      "aaaa",
      "AAAA",
      "tenant/parish /key_sha256: expected 64 lower-case hex digits of a "
      "SHA-256, found a string of 64 bytes (617 bad-value)" },
    { "tenant/parish",
      "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
      "tenant/parish /key_sha256: expected the SHA-256 of a key, found the "
      "SHA-256 of an empty key (617 bad-value)" },
  };
  for (const DocumentChange& change : kChanges) {
    CheckReportedMistake(change);
  }
}

TEST_GROUP_BASE(ConfigurationRules, Utest){};

TEST(ConfigurationRules, ReportsLocationOfEachViolatedRule)
{
  constexpr DocumentChange kChanges[] = {
    { "classes",
      R"("may_wait": false)",
      R"("may_wait": true)",
      "classes /classes/1: expected at most one of may_wait and "
      "must_not_repeat, found both (623 class-conflict)" },
    { "classes",
      R"("deadline_ms": 5000)",
      R"("deadline_ms": 600001)",
      "classes /classes/1/deadline_ms: expected at most record_retention_ms, "
      "600000, found 600001 (626 retention-too-short)" },
    { "limits",
      R"("entries_validity_ms": 5000, "record_retention_ms": 600000)",
      R"("entries_validity_ms": 5001, "record_retention_ms": 5000)",
      "limits /entries_validity_ms: expected at most record_retention_ms, "
      "5000, found 5001 (626 retention-too-short)" },
    { "models",
      R"("default_class": "summary")",
      R"("default_class": "reservation")",
      "models /models/0/default_class: expected a class whose work may be "
      "repeated, found the class \"reservation\" (624 not-for-completions)" },
    { "models",
      R"("version": "v2")",
      R"("version": "v1")",
      "models /models/0/next/version: expected another version than the one in "
      "force, found \"v1\" (621 duplicate)" },
    { "models",
      R"({"name": "venue"})",
      R"({"name": "venue"}, {"name": "venue"})",
      "models /models/0/adapters/1/name: expected its own adapter name, "
      "found the same as models /models/0/adapters/0/name (621 duplicate)" },
    { "services",
      R"("class": "reservation")",
      R"("class": "claim")",
      "services /services/0/calls/0/class: expected a class that the part "
      "classes declares, found \"claim\" (622 unknown-reference)" },
    { "pool/desk",
      R"("service": "booking")",
      R"("service": "stock")",
      "pool/desk /service: expected a service that the part services declares, "
      "found \"stock\" (622 unknown-reference)" },
    { "pool/desk",
      R"("name": "b1")",
      R"("name": "p1")",
      "pool/desk /servers/0/name: expected its own server name, found the "
      "same as pool/clerk /servers/0/name (621 duplicate)" },
    { "pool/desk",
      "10.0.0.3",
      "10.0.0.1",
      "pool/desk /servers/0/address: expected its own server address, "
      "found the same as pool/clerk /servers/0/address (621 duplicate)" },
    { "pool/clerk",
      R"("minimum_decode": 1)",
      R"("minimum_decode": 2)",
      "pool/clerk /minimum_decode: expected at most the 1 servers of that role "
      "that aren't leaving, found 2 (625 too-few-servers)" },
    { "pool/clerk",
      R"("leaving": false)",
      R"("leaving": true)",
      "pool/clerk /minimum_prefill: expected at most the 0 servers of that "
      "role that aren't leaving, found 1 (625 too-few-servers)" },
    { "classes",
      R"("name": "reservation")",
      R"("name": "summary")",
      "classes /classes/1/name: expected its own class name, found the "
      "same as classes /classes/0/name (621 duplicate)\n"
      "services /services/0/calls/0/class: expected a class that the part "
      "classes declares, found \"reservation\" (622 unknown-reference)" },
  };
  for (const DocumentChange& change : kChanges) {
    CheckReportedMistake(change);
  }
}

TEST(ConfigurationRules, RefusesKeySharedByWorkspaces)
{
  Documents documents = ValidDocuments();
  documents["tenant/hall"] = documents["tenant/parish"];
  STRCMP_EQUAL("tenant/parish /key_sha256: expected its own key, found "
               "the same as tenant/hall /key_sha256 (621 duplicate)",
               ToLines(BuildFromDocuments(documents).mMistakes).c_str());
}
