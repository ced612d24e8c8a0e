#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "heatherfork/detail/http/request_reader.h"

/// Fuzzes the parser of caller requests. The first byte selects the path, the
/// rest is the body.
namespace {

using namespace heatherfork;

const std::string kPaths[] = { "/v1/completions",
                               "/v1/services/desk/stock",
                               "/v1/services/",
                               "/" };

Configuration
MakeConfiguration()
{
  Configuration configuration;
  configuration.mClasses = { WorkClass{ ClassName{ "look" } } };
  configuration.mModels = { Model{ ModelName{ "m" } } };
  configuration.mCalls = { ServiceCall{
    ServiceName{ "desk" }, "stock", ClassName{ "look" } } };
  return configuration;
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  static const Configuration kConfiguration = MakeConfiguration();
  static const Workspace kWorkspace{ WorkspaceName{ "t" } };
  if (aSize == 0) {
    return 0;
  }
  const std::string& path = kPaths[aData[0] % std::size(kPaths)];
  const std::string body(aData + 1, aData + aSize);
  const auto result =
    detail::ReadRequest({ path, body }, kConfiguration, kWorkspace, Instant{});
  const auto* request = std::get_if<Request>(&result);
  // An accepted request belongs to the workspace that authenticated it.
  if (request != nullptr && request->mWorkspace != kWorkspace.mName) {
    std::abort();
  }
  return 0;
}
