#pragma once

#include <string>

#include "heatherfork/ctl/command.h"

namespace heatherfork::ctl::detail {

/// Sends a GET request to the admin interface of a node and prints the response
/// as tables. The key is read from `Console::mAdminKeyFile`; trailing white
/// space is removed.
ExitCode
PrintAdminResponse(const std::string& aAddress,
                   const std::string& aPath,
                   const Console& aConsole);

} // namespace heatherfork::ctl::detail
