#pragma once

#include "heatherfork/ctl/command.h"

/// Factories of the commands.
namespace heatherfork::ctl::detail {

CommandPtr
MakeCheckCommand();
CommandPtr
MakeDiffCommand();
CommandPtr
MakeCheckRoutesCommand();
CommandPtr
MakeReplayCommand();
CommandPtr
MakeErrorsCommand();
CommandPtr
MakeExplainCommand();
CommandPtr
MakeSettingsCommand();
CommandPtr
MakeStatusCommand();

} // namespace heatherfork::ctl::detail
