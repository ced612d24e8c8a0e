#pragma once

#include <map>
#include <string>
#include <vector>

#include "heatherfork/configuration_document.h"

/// Sample documents for configuration tests.
namespace heatherfork::tests {

/// Part contents by part key.
using Documents = std::map<std::string, std::string>;

inline const std::string kKeyDigest(64, 'a');

/// A minimal valid configuration.
inline Documents
ValidDocuments()
{
  return {
    { "classes", R"({"classes": [
      {"name": "summary", "may_wait": true, "must_not_repeat": false,
       "deadline_ms": 60000, "priority": 1},
      {"name": "reservation", "may_wait": false, "must_not_repeat": true,
       "deadline_ms": 5000, "priority": 9}]})" },
    { "limits", R"({"entries_validity_ms": 5000, "record_retention_ms": 600000,
      "max_records": 100000, "max_queued": 10000, "result_lifetime_ms": 800,
      "tokens_per_piece": 2000, "weight_loads_at_once": 2})" },
    { "models", R"({"models": [{"name": "clerk", "version": "v1",
      "adapters": [{"name": "venue"}], "default_class": "summary",
      "next": {"version": "v2", "share_percent": 5}}]})" },
    { "services", R"({"services": [{"name": "booking", "calls": [
      {"name": "reserve", "class": "reservation"}]}]})" },
    { "pool/clerk", R"({"model": "clerk", "minimum_prefill": 1,
      "minimum_decode": 1, "servers": [
      {"name": "p1", "address": "10.0.0.1:80", "zone": "north", "slots": 4,
       "leaving": false, "role": "prefill", "pieces": 8,
       "checks_fencing": true},
      {"name": "d1", "address": "[fd00::1]:80", "zone": "north", "slots": 20,
       "leaving": false, "role": "decode", "pieces": 90,
       "checks_fencing": false}]})" },
    { "pool/desk", R"({"service": "booking", "servers": [
      {"name": "b1", "address": "10.0.0.3:80", "zone": "south", "slots": 50,
       "leaving": true}]})" },
    { "tenant/parish",
      R"({"key_sha256": ")" + kKeyDigest +
        R"(", "max_in_flight": 40, "weight": 2})" },
  };
}

/// Validates the documents as revision 7.
inline ConfigurationBuildResult
BuildFromDocuments(const Documents& aDocuments)
{
  ConfigurationHead head{ 7, {} };
  ConfigurationParts parts;
  for (const auto& [key, bytes] : aDocuments) {
    head.mDigests[key] = DigestOf(bytes);
    parts[DigestOf(bytes)] = bytes;
  }
  return BuildConfiguration(head, parts);
}

/// Formats one mistake per line.
inline std::string
ToLines(const std::vector<ConfigurationMistake>& aMistakes)
{
  return std::string(ToStatus(aMistakes).message());
}

} // namespace heatherfork::tests
