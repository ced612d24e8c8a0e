#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "heatherfork/ctl/command.h"
#include "heatherfork/version.h"
#include "platform/wire.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

ABSL_FLAG(std::string,
          admin_key_file,
          "",
          "file that holds the key of the admin interface");
ABSL_FLAG(std::vector<std::string>,
          log,
          {},
          "logs of nodes: explain --log FILE... REQUEST");
ABSL_FLAG(int, timeout_ms, 5000, "milliseconds for each call to a node");

namespace {

using heatherfork::ctl::Console;
using heatherfork::ctl::ExitCode;

std::string
VersionLine()
{
  return "heatherforkctl " + std::string(heatherfork::Version()) + "\n";
}

/// --help is handled here because the flags library exits with 1 and does not
/// list the commands.
bool
HasHelpFlag(int aCount, char** aArguments)
{
  return std::any_of(
    aArguments + 1, aArguments + aCount, [](const std::string& aArgument) {
      return aArgument == "--help";
    });
}

std::vector<std::string>
ParsePositionalArguments(int aCount, char** aArguments)
{
  absl::FlagsUsageConfig config;
  config.version_string = VersionLine;
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage(heatherfork::ctl::Usage());
  const auto positionalArguments = absl::ParseCommandLine(aCount, aArguments);
  return { positionalArguments.begin() + 1, positionalArguments.end() };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (HasHelpFlag(aCount, aArguments)) {
    std::cout << heatherfork::ctl::Usage();
    return static_cast<int>(ExitCode::kOk);
  }
  const auto positionalArguments = ParsePositionalArguments(aCount, aArguments);
  const heatherfork::platform::Wire wire;
  const Console console{
    std::cout,
    std::cerr,
    absl::GetFlag(FLAGS_admin_key_file),
    heatherfork::Milliseconds(absl::GetFlag(FLAGS_timeout_ms)),
    absl::GetFlag(FLAGS_log),
    &wire,
  };
  return static_cast<int>(
    heatherfork::ctl::RunCommand(positionalArguments, console));
}
