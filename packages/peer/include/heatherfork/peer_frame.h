#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "heatherfork/ids.h"
#include "heatherfork/peer_message.h"

/// FlatBuffers encoding of the messages between nodes (schema/peer.fbs).
namespace heatherfork {

/// Maximum size of a frame, for reading and writing.
inline constexpr std::size_t kMaxPeerFrameBytes = std::size_t{ 16 } << 20;

/// A message with its sender.
struct PeerFrame
{
  NodeId mFrom;
  PeerMessage mMessage;

  auto operator<=>(const PeerFrame&) const = default;
};

std::string
EncodeFrame(const NodeId& aFrom, const PeerMessage& aMessage);

/// Decodes an untrusted frame. Returns InvalidArgument for a malformed frame
/// and Unimplemented for a message type that only newer nodes know.
absl::StatusOr<PeerFrame>
DecodeFrame(std::string_view aFrame);

} // namespace heatherfork
