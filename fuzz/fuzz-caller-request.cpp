#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "heatherfork/detail/http/request_reader.h"

/// Feeds bodies to the reader of callers' requests. The first byte chooses the
/// path.
namespace {

using namespace heatherfork;

const std::string kPaths[] = { "/v1/completions",
                               "/v1/services/desk/stock",
                               "/v1/services/",
                               "/" };

Configuration
SmallConfiguration()
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
  static const Configuration kConfiguration = SmallConfiguration();
  static const Workspace kWorkspace{ WorkspaceName{ "t" } };
  if (aSize == 0) {
    return 0;
  }
  const std::string& path = kPaths[aData[0] % std::size(kPaths)];
  const std::string body(aData + 1, aData + aSize);
  const auto result =
    detail::ReadRequest({ path, body }, kConfiguration, kWorkspace, Instant{});
  const auto* request = std::get_if<Request>(&result);
  // What is accepted names the workspace whose key it came with.
  if (request != nullptr && request->mWorkspace != kWorkspace.mName) {
    std::abort();
  }
  return 0;
}
