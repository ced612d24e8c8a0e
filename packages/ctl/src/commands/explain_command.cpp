#include "heatherfork/ctl/detail/admin_client.h"
#include "heatherfork/ctl/detail/admin_output.h"
#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/request_timeline.h"

namespace heatherfork::ctl::detail {

namespace {

/// Prints the decisions on a request, from a node or from logs.
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

  bool AcceptsArgumentCount(std::size_t aCount,
                            const Console& aConsole) const override
  {
    return aConsole.mLogFiles.empty() ? aCount == Arguments().size()
                                      : aCount >= 1;
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    if (!aConsole.mLogFiles.empty()) {
      // The flag takes only the first file. The other files are positional
      // arguments before the request.
      std::vector<std::string> files = aConsole.mLogFiles;
      files.insert(files.end(), aArguments.begin(), aArguments.end() - 1);
      return PrintTimeline(files, aArguments.back(), aConsole);
    }
    return PrintAdminResponse(aArguments.front(),
                              "/admin/explain/" +
                                EscapeSegment(aArguments.back()),
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
