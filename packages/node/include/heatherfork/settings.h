#pragma once

#include <string>
#include <vector>

#include "heatherfork/node_settings.h"

/// The TOML settings file of a node.
namespace heatherfork {

/// One mistake in a settings file.
struct SettingsMistake
{
  int mLine = 0; ///< 0 when the key is missing.
  std::string mKey;
  std::string mExpected;

  auto operator<=>(const SettingsMistake&) const = default;
};

/// A node's validated settings.
struct Settings
{
  NodeSettings mNode; ///< Incarnation and seed are generated at startup.
  Address mCallerListen;
  Address mPeerListen;
  Address mConfigurationService;
  Address mVmList;
  std::string mPeerKey;         ///< Authenticates frames between nodes.
  std::string mPreviousPeerKey; ///< Still accepted during a key rotation.
  std::string mAdminKey;        ///< Bearer key of the admin interface.
  std::string mLogLevel = "info";
  std::string mTraceFile; ///< Records events and effects; empty for none.
  int mMaxCallerThreads = 0;
  int mMaxServerThreads = 0;
  int mMaxBodyBytes = 0;
  Duration mBodyTimeout{};

  auto operator<=>(const Settings&) const = default;
};

/// The settings, and the mistakes found; the settings are valid only when
/// there are none.
struct SettingsResult
{
  Settings mSettings;
  std::vector<SettingsMistake> mMistakes;
};

/// Parses and validates settings. Reports all mistakes, not only the first; an
/// unknown key is a mistake. O(n).
SettingsResult
ReadSettings(const std::string& aToml);

/// "FILE:LINE: KEY: expected EXPECTED".
std::string
ToString(const SettingsMistake& aMistake, const std::string& aFile);

} // namespace heatherfork
