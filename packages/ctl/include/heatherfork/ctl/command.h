#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "heatherfork/relay_wire.h"
#include "heatherfork/time.h"

/// The subcommands of heatherforkctl.
namespace heatherfork::ctl {

/// Exit codes of the program. The flags library itself exits with 1.
enum class ExitCode : int
{
  kOk = 0,
  kUsage = 1,       ///< The command line is invalid.
  kMistakes = 2,    ///< The checked input has mistakes.
  kUnreachable = 3, ///< A file or a node can't be read.
};

/// Output streams and flags of a command.
struct Console
{
  std::ostream& mOut;
  std::ostream& mError;
  std::string mAdminKeyFile;            ///< Empty: no key is sent.
  Duration mTimeout{};                  ///< For each request to a node.
  std::vector<std::string> mLogFiles{}; ///< Log files of nodes.
  const RelayWire* mWire = nullptr;     ///< Formats of the store's values.
};

/// A subcommand.
class Command
{
public:
  virtual ~Command() = default;

  /// The name on the command line, such as "check".
  virtual std::string_view Name() const = 0;

  /// The names of the arguments in the help text, such as "OLD" and "NEW".
  virtual std::vector<std::string_view> Arguments() const = 0;

  /// One line for the help text.
  virtual std::string_view Summary() const = 0;

  /// Returns whether Run() accepts this number of arguments.
  virtual bool AcceptsArgumentCount(std::size_t aCount,
                                    const Console& /*aConsole*/) const
  {
    return aCount == Arguments().size();
  }

  /// Runs the command. AcceptsArgumentCount() must hold.
  virtual ExitCode Run(const std::vector<std::string>& aArguments,
                       const Console& aConsole) const = 0;
};

using CommandPtr = std::unique_ptr<const Command>;

std::vector<CommandPtr>
AllCommands();

/// Returns the text of --help.
std::string
Usage();

/// Runs the command that the first element names. The command line holds no
/// flags.
ExitCode
RunCommand(const std::vector<std::string>& aCommandLine,
           const Console& aConsole);

} // namespace heatherfork::ctl
