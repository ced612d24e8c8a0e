#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string_view>

#include "heatherfork/detail/peer/greeting.h"
#include "heatherfork/detail/peer/session.h"
#include "heatherfork/peer_frame.h"

/// Fuzzes the decoders of data from other nodes. The first byte selects the
/// decoder.
namespace {

using namespace heatherfork;
using detail::KeyRing;
using detail::Nonce;
using detail::Session;

constexpr int kDecoders = 3;

// A decoded frame must be equal after it is encoded and decoded again.
void
CheckFrame(std::string_view aBytes)
{
  const auto frame = DecodeFrame(aBytes);
  if (!frame.ok()) {
    return;
  }
  const auto decodedAgain =
    DecodeFrame(EncodeFrame(frame->mFrom, frame->mMessage));
  if (!decodedAgain.ok() || *decodedAgain != *frame) {
    std::abort();
  }
}

void
CheckGreeting(std::string_view aBytes)
{
  const auto greeting = detail::DecodeGreeting(aBytes);
  if (!greeting.ok()) {
    return;
  }
  const auto decodedAgain = detail::DecodeGreeting(EncodeGreeting(*greeting));
  if (!decodedAgain.ok() || *decodedAgain != *greeting) {
    std::abort();
  }
}

// A session must accept no frame from a peer that lacks the key.
void
CheckSession(std::string_view aBytes)
{
  static const auto kKeys = std::make_shared<const KeyRing>(
    std::vector<std::string>{ "a key that the input doesn't know" });
  Session session(Session::Side::kAcceptor, kKeys, Nonce{});
  const std::string_view head = aBytes.substr(0, aBytes.size() / 2);
  for (const std::string_view part : { head, aBytes.substr(head.size()) }) {
    const auto frames = session.Receive(part);
    if (!frames.ok()) {
      return;
    }
    if (!frames->empty()) {
      std::abort();
    }
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(aData) + 1,
                               aSize - 1);
  switch (aData[0] % kDecoders) {
    case 0:
      CheckFrame(bytes);
      break;
    case 1:
      CheckGreeting(bytes);
      break;
    default:
      CheckSession(bytes);
      break;
  }
  return 0;
}
