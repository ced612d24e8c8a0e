#include "heatherfork/ctl/detail/admin_output.h"

#include <ostream>

#include "heatherfork/ctl/detail/admin_client.h"
#include "heatherfork/ctl/detail/configuration_directory.h"
#include "heatherfork/ctl/detail/table.h"

namespace heatherfork::ctl::detail {

namespace {

constexpr std::size_t kMaxKeyBytes = 4096;

absl::StatusOr<std::string>
ReadKey(const std::string& aPath)
{
  if (aPath.empty()) {
    return std::string();
  }
  auto text = ReadFile(aPath, kMaxKeyBytes);
  if (text.ok()) {
    text->erase(text->find_last_not_of(" \t\r\n") + 1);
  }
  return text;
}

} // namespace

ExitCode
PrintAdminResponse(const std::string& aAddress,
                   const std::string& aPath,
                   const Console& aConsole)
{
  const auto key = ReadKey(aConsole.mAdminKeyFile);
  if (!key.ok()) {
    aConsole.mError << key.status().message() << '\n';
    return ExitCode::kUnreachable;
  }
  const auto response =
    AdminClient(aAddress, *key, aConsole.mTimeout).Get(aPath);
  if (!response.ok()) {
    aConsole.mError << response.status().message() << '\n';
    return ExitCode::kUnreachable;
  }
  PrintJson(*response, aConsole.mOut);
  return ExitCode::kOk;
}

} // namespace heatherfork::ctl::detail
