#pragma once

#include <functional>
#include <string>
#include <vector>

#include "heatherfork/relay_node.h"
#include "heatherfork/settings.h"

/// The TOML settings file of a node that relays opaque requests.
namespace heatherfork {

/// The settings, and the mistakes found; the settings are valid only when
/// there are none.
struct RelaySettingsResult
{
  RelayNodeSettings mSettings;
  std::vector<SettingsMistake> mMistakes;
};

/// Returns whether a settings file has a table "relay", and so is for a relay
/// node.
bool
IsRelaySettings(const std::string& aToml);

/// The value of an environment variable; empty if it is not set.
using EnvironmentLookup = std::function<std::string(const char*)>;

/// Parses and validates settings; reports all mistakes, not only the first.
/// Variables such as HEATHERFORK_QUOTA_SLACK set keys that the file lacks.
/// O(n).
RelaySettingsResult
ReadRelaySettings(const std::string& aToml,
                  const EnvironmentLookup& aEnvironment = {});

} // namespace heatherfork
