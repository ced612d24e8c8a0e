#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "heatherfork/detail/json/split.h"
#include "heatherfork/detail/platform/platform_client.h"
#include "heatherfork/detail/servers/engine_protocol.h"

/// Fuzzes the parsers of replies from backend servers, of the VM list and of
/// pages of a store.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace heatherfork;
  const std::string body(aData, aData + aSize);
  const ServerReply reply = detail::ReadReply(PrefillCall{}, body);
  // A prefill reply is either complete or broken.
  if (reply.mStatus != CallStatus::kOk &&
      reply.mStatus != CallStatus::kBroken) {
    std::abort();
  }
  (void)detail::ReadStreamItem(false, body);
  (void)detail::ReadStreamItem(true, body);
  (void)detail::IsCancelledReply(body);
  (void)detail::ReadVmList(body);
  (void)detail::json::FindString(body, "Key");
  if (const auto split = detail::json::SplitAt(body, "items")) {
    for (const std::string_view item : split->mItems) {
      (void)detail::json::FindString(item, "Key");
    }
  }
  return 0;
}
