#include <string>

#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/replay.h"

namespace heatherfork::ctl::detail {

namespace {

// Return values of RunReplay().
constexpr int kReplayMatches = 0;
constexpr int kReplayDiffers = 1;

/// Replays a recorded trace and checks its effects and expected outcomes.
class ReplayCommand : public Command
{
public:
  std::string_view Name() const override { return "replay"; }

  std::vector<std::string_view> Arguments() const override
  {
    return { "FILE" };
  }

  std::string_view Summary() const override
  {
    return "replay a recorded trace and check its stated outcomes";
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    switch (RunReplay(aArguments.front(), aConsole.mOut)) {
      case kReplayMatches:
        return ExitCode::kOk;
      case kReplayDiffers:
        return ExitCode::kMistakes;
      default:
        return ExitCode::kUnreachable;
    }
  }
};

} // namespace

CommandPtr
MakeReplayCommand()
{
  return std::make_unique<ReplayCommand>();
}

} // namespace heatherfork::ctl::detail
