#include "heatherfork/ctl/command.h"

#include <algorithm>
#include <ostream>
#include <sstream>

#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/table.h"

namespace heatherfork::ctl {

namespace {

/// Returns the name and the arguments, such as "diff OLD NEW".
std::string
SynopsisOf(const Command& aCommand)
{
  std::string text(aCommand.Name());
  for (const std::string_view argument : aCommand.Arguments()) {
    text += " ";
    text += argument;
  }
  return text;
}

} // namespace

std::vector<CommandPtr>
AllCommands()
{
  std::vector<CommandPtr> commands;
  commands.push_back(detail::MakeCheckCommand());
  commands.push_back(detail::MakeDiffCommand());
  commands.push_back(detail::MakeCheckRoutesCommand());
  commands.push_back(detail::MakeSettingsCommand());
  commands.push_back(detail::MakeStatusCommand());
  commands.push_back(detail::MakeExplainCommand());
  commands.push_back(detail::MakeReplayCommand());
  commands.push_back(detail::MakeErrorsCommand());
  return commands;
}

std::string
Usage()
{
  std::vector<detail::Row> rows;
  for (const CommandPtr& command : AllCommands()) {
    rows.push_back(
      { "", SynopsisOf(*command), std::string(command->Summary()) });
  }
  std::ostringstream text;
  text << "usage: heatherforkctl [FLAGS] COMMAND [ARGUMENTS]\n\ncommands:\n";
  detail::PrintTable(rows, text);
  text << "\nflags:\n";
  detail::PrintTable(
    { { "", "--admin_key_file=FILE", "the key of the admin interface" },
      { "", "--timeout_ms=N", "for each call to a node" },
      { "",
        "--log FILE...",
        "explain from logs: explain --log FILE... REQUEST" },
      { "", "--help", "print this" },
      { "", "--version", "print the version" } },
    text);
  text << "\nexit codes: 0 done, 1 wrong usage, 2 mistakes found, 3 a file or "
          "node could not be read\n";
  return text.str();
}

ExitCode
RunCommand(const std::vector<std::string>& aCommandLine,
           const Console& aConsole)
{
  if (aCommandLine.empty()) {
    aConsole.mError << Usage();
    return ExitCode::kUsage;
  }
  const auto commands = AllCommands();
  const auto it = std::find_if(
    commands.begin(), commands.end(), [&](const CommandPtr& aCommand) {
      return aCommand->Name() == aCommandLine.front();
    });
  if (it == commands.end()) {
    aConsole.mError << "expected a command, found \"" << aCommandLine.front()
                    << "\"; see heatherforkctl --help\n";
    return ExitCode::kUsage;
  }
  const std::vector<std::string> arguments(aCommandLine.begin() + 1,
                                           aCommandLine.end());
  if (!(*it)->AcceptsArgumentCount(arguments.size(), aConsole)) {
    aConsole.mError << "expected heatherforkctl " << SynopsisOf(**it)
                    << ", found " << arguments.size() << " arguments\n";
    return ExitCode::kUsage;
  }
  return (*it)->Run(arguments, aConsole);
}

} // namespace heatherfork::ctl
