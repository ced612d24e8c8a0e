#include <string>

#include "heatherfork/configuration_mistake.h"
#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/table.h"
#include "heatherfork/error.h"

namespace heatherfork::ctl::detail {

namespace {

/// Prints all errors and configuration mistakes.
class ErrorsCommand : public Command
{
public:
  std::string_view Name() const override { return "errors"; }

  std::vector<std::string_view> Arguments() const override { return {}; }

  std::string_view Summary() const override
  {
    return "print all errors with number, identifier, status and outcome";
  }

  ExitCode Run(const std::vector<std::string>&,
               const Console& aConsole) const override
  {
    std::vector<Row> rows{ { "number", "identifier", "status", "outcome" } };
    for (const ErrorInfo& info : AllErrors()) {
      rows.push_back({ std::to_string(static_cast<int>(info.mCode)),
                       std::string(info.mIdentifier),
                       std::to_string(info.mHttpStatus),
                       std::string(ToString(info.mOutcome)) });
    }
    for (const MistakeInfo& info : AllMistakes()) {
      rows.push_back({ std::to_string(static_cast<int>(info.mCode)),
                       std::string(info.mIdentifier),
                       "-",
                       "-" });
    }
    PrintTable(rows, aConsole.mOut);
    return ExitCode::kOk;
  }
};

} // namespace

CommandPtr
MakeErrorsCommand()
{
  return std::make_unique<ErrorsCommand>();
}

} // namespace heatherfork::ctl::detail
