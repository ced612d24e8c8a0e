#include <ostream>

#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/configuration_directory.h"

namespace heatherfork::ctl::detail {

namespace {

/// Validates a configuration as a node does.
class CheckCommand : public Command
{
public:
  std::string_view Name() const override { return "check"; }

  std::vector<std::string_view> Arguments() const override { return { "DIR" }; }

  std::string_view Summary() const override
  {
    return "check the configuration in DIR as a node does";
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    const auto result = ReadDirectory(aArguments.front());
    if (!result.ok()) {
      aConsole.mError << result.status().message() << '\n';
      return ExitCode::kUnreachable;
    }
    for (const ConfigurationMistake& mistake : result->mMistakes) {
      aConsole.mError << ToString(mistake) << '\n';
    }
    if (result->mConfiguration == nullptr) {
      aConsole.mError << "refused\n";
      return ExitCode::kMistakes;
    }
    aConsole.mOut << "accepted: revision " << result->mConfiguration->mRevision
                  << '\n';
    return ExitCode::kOk;
  }
};

} // namespace

CommandPtr
MakeCheckCommand()
{
  return std::make_unique<CheckCommand>();
}

} // namespace heatherfork::ctl::detail
