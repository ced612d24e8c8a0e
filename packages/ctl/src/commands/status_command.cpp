#include "heatherfork/ctl/detail/admin_output.h"
#include "heatherfork/ctl/detail/commands.h"

namespace heatherfork::ctl::detail {

namespace {

/// Prints the state of a node.
class StatusCommand : public Command
{
public:
  std::string_view Name() const override { return "status"; }

  std::vector<std::string_view> Arguments() const override
  {
    return { "ADDRESS" };
  }

  std::string_view Summary() const override
  {
    return "show the state of the node at ADDRESS";
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    return PrintAdminResponse(aArguments.front(), "/admin/status", aConsole);
  }
};

} // namespace

CommandPtr
MakeStatusCommand()
{
  return std::make_unique<StatusCommand>();
}

} // namespace heatherfork::ctl::detail
