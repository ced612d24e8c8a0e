#include <ostream>

#include "heatherfork/ctl/change.h"
#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/configuration_directory.h"

namespace heatherfork::ctl::detail {

namespace {

/// A valid configuration, or null and the exit code of the command.
struct LoadResult
{
  ConfigurationPtr mConfiguration;
  ExitCode mExitCode = ExitCode::kOk;
};

LoadResult
Load(const std::string& aDirectory, const Console& aConsole)
{
  const auto result = ReadDirectory(aDirectory);
  if (!result.ok()) {
    aConsole.mError << result.status().message() << '\n';
    return LoadResult{ nullptr, ExitCode::kUnreachable };
  }
  for (const ConfigurationMistake& mistake : result->mMistakes) {
    aConsole.mError << aDirectory << ": " << ToString(mistake) << '\n';
  }
  const bool isValid = result->mConfiguration != nullptr;
  return LoadResult{ result->mConfiguration,
                     isValid ? ExitCode::kOk : ExitCode::kMistakes };
}

/// Describes the effects of a configuration change.
class DiffCommand : public Command
{
public:
  std::string_view Name() const override { return "diff"; }

  std::vector<std::string_view> Arguments() const override
  {
    return { "OLD", "NEW" };
  }

  std::string_view Summary() const override
  {
    return "say what going from directory OLD to NEW would do; ! marks losses";
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    const LoadResult before = Load(aArguments.front(), aConsole);
    const LoadResult after = Load(aArguments.back(), aConsole);
    for (const LoadResult* loaded : { &before, &after }) {
      if (loaded->mConfiguration == nullptr) {
        return loaded->mExitCode;
      }
    }
    const auto changes =
      DescribeChange(*before.mConfiguration, *after.mConfiguration);
    for (const Change& change : changes) {
      aConsole.mOut << (change.mIsLoss ? "! " : "  ") << change.mText << '\n';
    }
    if (changes.empty()) {
      aConsole.mOut << "no change\n";
    }
    return ExitCode::kOk;
  }
};

} // namespace

CommandPtr
MakeDiffCommand()
{
  return std::make_unique<DiffCommand>();
}

} // namespace heatherfork::ctl::detail
