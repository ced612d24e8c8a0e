#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "heatherfork/detail/peer/key_ring.h"

/// Framing and authentication of a connection between two nodes
/// (docs/protocols/peer.md).
namespace heatherfork::detail {

enum class FrameKind : std::uint8_t
{
  kHello = 1, ///< First frame from the dialer, with its greeting.
  kWelcome,   ///< First frame from the acceptor, with its greeting.
  kMessage,   ///< A PeerFrame. Sent by the dialer only.
  kPing,
  kPong,
  kGoodbye, ///< The dialer closes after its last message.
};

/// The kind and payload of a frame whose tag has been verified.
struct SessionFrame
{
  FrameKind mKind = FrameKind::kPing;
  std::string mPayload;

  auto operator<=>(const SessionFrame&) const = default;
};

/// One side of a connection, without its socket. Each side sends a nonce, then
/// frames. The tag of a frame covers both nonces, the sending side and the
/// sequence number, so a frame is valid at one position of one connection only.
/// This prevents replay, reordering and reflection.
class Session
{
public:
  enum class Side : std::uint8_t
  {
    kDialer,
    kAcceptor,
  };

  Session(Side aSide,
          std::shared_ptr<const KeyRing> aKeys,
          const Nonce& aNonce);

  /// Returns the bytes to send before any frame: this side's nonce.
  std::string InitialBytes() const;

  /// Returns true once the peer's nonce has arrived. Don't call Seal before.
  bool IsReady() const { return mIsReady; }

  /// Accepts frames of up to kMaxPeerFrameBytes from now on. Call it once
  /// the peer's greeting has been verified.
  void SetAuthenticated() { mIsAuthenticated = true; }

  /// Serialises and signs the next frame.
  std::string Seal(FrameKind aKind, std::string_view aPayload);

  /// Consumes received bytes and returns the frames that they complete. Returns
  /// InvalidArgument for an invalid length or kind, and Unauthenticated for a
  /// wrong tag, which includes replayed frames. Close the connection after an
  /// error.
  absl::StatusOr<std::vector<SessionFrame>> Receive(std::string_view aBytes);

private:
  std::string TagInput(Side aSide,
                       std::uint64_t aSequence,
                       std::string_view aFrame) const;
  bool ReadPeerNonce();
  absl::StatusOr<SessionFrame> Open(std::string_view aFrame);

  Side mSide;
  std::shared_ptr<const KeyRing> mKeys;
  Nonce mOwnNonce;
  Nonce mPeerNonce{};
  bool mIsReady = false;
  bool mIsAuthenticated = false;
  std::uint64_t mSentFrames = 0;
  std::uint64_t mReceivedFrames = 0;
  std::string mReadBuffer;
};

} // namespace heatherfork::detail
