#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "heatherfork/time.h"

/// The subcommands of heatherforkctl.
namespace heatherfork::ctl {

/// How the program ends. The flags library ends it with 1 by itself.
enum class ExitCode : int
{
  kOk = 0,
  kUsage = 1,       ///< The command line can't be understood.
  kMistakes = 2,    ///< What was checked has mistakes.
  kUnreachable = 3, ///< A file or a node could not be read.
};

/// Where a command writes, and what the flags say.
struct Console
{
  std::ostream& mOut;
  std::ostream& mError;
  std::string mAdminKeyFile;        ///< Empty: no key is sent.
  Duration mTimeout{};              ///< For each call to a node.
  std::vector<std::string> mLogs{}; ///< Log files of nodes.
};

/// One subcommand.
class Command
{
public:
  virtual ~Command() = default;

  /// What an operator types, such as "check".
  virtual std::string_view Name() const = 0;

  /// Names of the arguments, such as "OLD" and "NEW".
  virtual std::vector<std::string_view> Arguments() const = 0;

  /// One line for the list of commands.
  virtual std::string_view Summary() const = 0;

  /// Whether it can be run with so many arguments.
  virtual bool Takes(std::size_t aArguments, const Console& /*aConsole*/) const
  {
    return aArguments == Arguments().size();
  }

  /// Gets as many arguments as it takes.
  virtual ExitCode Run(const std::vector<std::string>& aArguments,
                       const Console& aConsole) const = 0;
};

using CommandPtr = std::unique_ptr<const Command>;

std::vector<CommandPtr>
AllCommands();

/// The text of --help.
std::string
Usage();

/// Runs the command that the first word names. Words hold no flags.
ExitCode
RunCommand(const std::vector<std::string>& aWords, const Console& aConsole);

} // namespace heatherfork::ctl
