#include <ostream>

#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/configuration_directory.h"
#include "heatherfork/settings.h"

namespace heatherfork::ctl::detail {

namespace {

constexpr std::size_t kMaxSettingsBytes = 64UL * 1024UL;

/// Validates the settings file of a node.
class SettingsCommand : public Command
{
public:
  std::string_view Name() const override { return "settings"; }

  std::vector<std::string_view> Arguments() const override
  {
    return { "FILE" };
  }

  std::string_view Summary() const override
  {
    return "check the settings of a node in FILE";
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    const std::string& file = aArguments.front();
    const auto text = ReadFile(file, kMaxSettingsBytes);
    if (!text.ok()) {
      aConsole.mError << text.status().message() << '\n';
      return ExitCode::kUnreachable;
    }
    const SettingsResult result = ReadSettings(*text);
    for (const SettingsMistake& mistake : result.mMistakes) {
      aConsole.mError << ToString(mistake, file) << '\n';
    }
    if (!result.mMistakes.empty()) {
      return ExitCode::kMistakes;
    }
    aConsole.mOut << "accepted: " << file << '\n';
    return ExitCode::kOk;
  }
};

} // namespace

CommandPtr
MakeSettingsCommand()
{
  return std::make_unique<SettingsCommand>();
}

} // namespace heatherfork::ctl::detail
