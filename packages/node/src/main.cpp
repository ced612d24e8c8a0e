#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "heatherfork/node.h"
#include "heatherfork/relay_node.h"
#include "heatherfork/relay_settings_file.h"
#include "heatherfork/settings.h"
#include "heatherfork/version.h"
#include "platform/wire.h"

ABSL_FLAG(std::string, settings, "", "Path of the settings file, in TOML.");
ABSL_FLAG(bool, check, false, "Check the settings file and exit.");

namespace {

using namespace heatherfork;

enum ExitCode
{
  kExitOk = 0,
  kExitUnavailable = 1,
  kExitUsage = 2,
};

std::string
VersionString()
{
  return "heatherfork " + std::string(Version()) + "\n";
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": expected a file that can be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool
CheckNoMistakes(const std::vector<SettingsMistake>& aMistakes,
                const std::string& aPath)
{
  for (const SettingsMistake& mistake : aMistakes) {
    std::cerr << ToString(mistake, aPath) << "\n";
  }
  return aMistakes.empty();
}

void
GenerateIncarnation(NodeSettings& aNode)
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution(1);
  aNode.mSelf.mIncarnation = distribution(device);
  aNode.mSeed = distribution(device);
}

void
SetUpLog(const std::string& aLevel)
{
  spdlog::set_default_logger(spdlog::stderr_logger_mt("heatherfork"));
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  spdlog::set_level(spdlog::level::from_str(aLevel));
}

// Blocks the signals for all threads started later, so that the main thread can
// wait for them.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Waits for SIGTERM or SIGINT. SIGHUP calls aOnReload and does not stop.
int
WaitForStop(const sigset_t& aSignals, const std::function<void()>& aOnReload)
{
  int signal = 0;
  do {
    sigwait(&aSignals, &signal);
    if (signal == SIGHUP) {
      aOnReload();
    }
  } while (signal == SIGHUP);
  return signal;
}

int
RunRelay(const std::string& aToml,
         const std::string& aPath,
         bool aCheckOnly,
         const sigset_t& aSignals)
{
  RelaySettingsResult read =
    ReadRelaySettings(aToml, [](const char* aName) -> std::string {
      // Nothing changes the environment, and no other thread runs yet.
      const char* value = std::getenv(aName);
      return value == nullptr ? "" : value;
    });
  if (!CheckNoMistakes(read.mMistakes, aPath)) {
    return kExitUsage;
  }
  if (aCheckOnly) {
    return kExitOk;
  }
  NodeSettings& self = read.mSettings.mNode;
  GenerateIncarnation(self);
  // Each run gets a unique name: wall clocks can step back, so they cannot
  // order two incarnations of one name.
  std::ostringstream name;
  name << self.mSelf.mName.mValue << "." << std::hex
       << (self.mSelf.mIncarnation & 0xffffffff);
  self.mSelf.mName.mValue = name.str();
  const platform::Wire wire;
  RelayNode node(read.mSettings, wire);
  const absl::Status status = node.Start();
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return kExitUnavailable;
  }
  WaitForStop(aSignals, [&node] { node.LogReloadRequest(); });
  node.RequestStop();
  node.WaitUntilStopped();
  return kExitOk;
}

int
RunNode(const std::string& aToml,
        const std::string& aPath,
        bool aCheckOnly,
        const sigset_t& aSignals)
{
  SettingsResult read = ReadSettings(aToml);
  if (!CheckNoMistakes(read.mMistakes, aPath)) {
    return kExitUsage;
  }
  if (aCheckOnly) {
    return kExitOk;
  }
  Settings& settings = read.mSettings;
  GenerateIncarnation(settings.mNode);
  SetUpLog(settings.mLogLevel);
  Node node(settings);
  const absl::Status status = node.Start();
  if (!status.ok()) {
    spdlog::error("{}", std::string(status.message()));
    return kExitUnavailable;
  }
  const int signal =
    WaitForStop(aSignals, [] { spdlog::info("reload: settings unchanged"); });
  spdlog::info("planned stop: signal={}", signal);
  node.RequestStop();
  node.WaitUntilStopped();
  spdlog::info("planned stop complete");
  return kExitOk;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // First, so that a signal during the start does not end the process at once.
  const sigset_t signals = BlockStopSignals();
  absl::SetProgramUsageMessage(
    "heatherfork --settings FILE\n"
    "Runs one node; a table [relay] in its settings makes it relay opaque\n"
    "requests between callers and replicas that a platform lists. SIGTERM "
    "begins a planned stop; exit status 0 after it,\n"
    "1 when an address can't be listened on, 2 when the settings are wrong.");
  absl::FlagsUsageConfig usage;
  usage.version_string = VersionString;
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(aCount, aArguments);

  const std::string path = absl::GetFlag(FLAGS_settings);
  const std::optional<std::string> toml = ReadFile(path);
  if (!toml) {
    return kExitUsage;
  }
  const bool check = absl::GetFlag(FLAGS_check);
  return IsRelaySettings(*toml) ? RunRelay(*toml, path, check, signals)
                                : RunNode(*toml, path, check, signals);
}
