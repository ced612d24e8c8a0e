#include "heatherfork/ctl/detail/admin_client.h"
#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/request_story.h"
#include "heatherfork/ctl/detail/show.h"

namespace heatherfork::ctl::detail {

namespace {

/// Shows why a node decided as it did on one request.
class ExplainCommand : public Command
{
public:
  std::string_view Name() const override { return "explain"; }

  std::vector<std::string_view> Arguments() const override
  {
    return { "ADDRESS", "REQUEST" };
  }

  std::string_view Summary() const override
  {
    return "show what the node at ADDRESS decided on REQUEST, and why";
  }

  bool Takes(std::size_t aArguments, const Console& aConsole) const override
  {
    return aConsole.mLogs.empty() ? aArguments == Arguments().size()
                                  : aArguments >= 1;
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    if (!aConsole.mLogs.empty()) {
      // The first file belongs to the flag, the others follow it.
      std::vector<std::string> files = aConsole.mLogs;
      files.insert(files.end(), aArguments.begin(), aArguments.end() - 1);
      return TellStory(files, aArguments.back(), aConsole);
    }
    return Show(aArguments.front(),
                "/admin/explain/" + EscapeSegment(aArguments.back()),
                aConsole);
  }
};

} // namespace

CommandPtr
MakeExplainCommand()
{
  return std::make_unique<ExplainCommand>();
}

} // namespace heatherfork::ctl::detail
