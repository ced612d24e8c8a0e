#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "heatherfork/configuration_document.h"

/// Fuzzes the parsers of configuration heads and parts. The first byte selects
/// the document that the rest of the input replaces.
namespace {

using namespace heatherfork;

constexpr std::size_t kMaxReportedMistakes = 1001;

/// Valid documents; the input replaces one of them.
const std::string kValidParts[][2] = {
  { "classes",
    R"({"classes":[{"name":"a","may_wait":true,"must_not_repeat":false,)"
    R"("deadline_ms":9,"priority":1},{"name":"b","may_wait":false,)"
    R"("must_not_repeat":true,"deadline_ms":9,"priority":1}]})" },
  { "limits",
    R"({"entries_validity_ms":5000,"record_retention_ms":600000,)"
    R"("max_records":100000,"max_queued":10000,"result_lifetime_ms":800,)"
    R"("tokens_per_piece":2000,"weight_loads_at_once":2})" },
  { "models",
    R"({"models":[{"name":"m","version":"1","adapters":[{"name":"x"}],)"
    R"("default_class":"a","next":null}]})" },
  { "services",
    R"({"services":[{"name":"s","calls":[{"name":"c","class":"b"}]}]})" },
  { "pool/p",
    R"({"model":"m","minimum_prefill":0,"minimum_decode":1,"servers":[)"
    R"({"name":"d","address":"10.0.0.1:80","zone":"z","slots":1,)"
    R"("leaving":false,"role":"decode","pieces":1,"checks_fencing":true}]})" },
  { "tenant/t",
    R"({"key_sha256":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa)"
    R"(aaaaaaaaa","max_in_flight":1,"weight":1})" },
};

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

void
RequireCompleteMistakes(const std::vector<ConfigurationMistake>& aMistakes)
{
  Require(aMistakes.size() <= kMaxReportedMistakes);
  for (const ConfigurationMistake& mistake : aMistakes) {
    Require(!mistake.mExpected.empty() && !mistake.mFound.empty());
    Require(!ToString(mistake).empty());
  }
}

void
CheckHead(const std::string& aBytes)
{
  const HeadParseResult verdict = ParseHead(aBytes);
  Require(verdict.mHead.has_value() == verdict.mMistakes.empty());
  RequireCompleteMistakes(verdict.mMistakes);
}

void
CheckPart(std::size_t aIndex, const std::string& aBytes)
{
  ConfigurationHead head{ 1, {} };
  ConfigurationParts parts;
  for (std::size_t n = 0; n < std::size(kValidParts); ++n) {
    const std::string& bytes = n == aIndex ? aBytes : kValidParts[n][1];
    const std::string digest = DigestOf(bytes);
    head.mDigests[kValidParts[n][0]] = digest;
    parts[digest] = bytes;
  }
  const ConfigurationBuildResult first = BuildConfiguration(head, parts);
  const ConfigurationBuildResult second = BuildConfiguration(head, parts);
  const bool isValid = first.mConfiguration != nullptr;
  Require(isValid == first.mMistakes.empty());
  Require(isValid || aBytes != kValidParts[aIndex][1]);
  Require(first.mMistakes == second.mMistakes);
  Require(!isValid || *first.mConfiguration == *second.mConfiguration);
  RequireCompleteMistakes(first.mMistakes);
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::size_t index = *aData % (std::size(kValidParts) + 1);
  const std::string bytes(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  if (index < std::size(kValidParts)) {
    CheckPart(index, bytes);
  } else {
    CheckHead(bytes);
  }
  return 0;
}
