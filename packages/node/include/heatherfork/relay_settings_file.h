#pragma once

#include <string>
#include <vector>

#include "heatherfork/relay_node.h"
#include "heatherfork/settings.h"

/// The settings file of a node that relays opaque requests, in TOML.
namespace heatherfork {

/// Either settings or all mistakes of a file.
struct RelaySettingsResult
{
  RelayNodeSettings mSettings;
  std::vector<SettingsMistake> mMistakes;
};

/// Whether a settings file is of this kind: it has a table "relay".
bool
IsRelaySettings(const std::string& aToml);

/// Reads and checks settings; reports every mistake at once. O(n).
RelaySettingsResult
ReadRelaySettings(const std::string& aToml);

} // namespace heatherfork
