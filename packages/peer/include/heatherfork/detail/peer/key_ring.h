#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Authentication of frames by HMAC-SHA256.
namespace heatherfork::detail {

inline constexpr std::size_t kTagBytes = 16; ///< HMAC-SHA256, truncated.
inline constexpr std::size_t kNonceBytes = 16;

using Nonce = std::array<std::uint8_t, kNonceBytes>;

/// Returns a nonce from a cryptographic random generator.
Nonce
RandomNonce();

/// The keys that a node accepts. The first key signs. The others are accepted
/// so that keys can be rotated one node at a time.
class KeyRing
{
public:
  explicit KeyRing(std::vector<std::string> aKeys);

  /// Returns the tag of aBytes under the first key, kTagBytes long.
  std::string Sign(std::string_view aBytes) const;

  /// Returns true if aTag is the tag of aBytes under any of the keys. Compares
  /// in constant time.
  bool Verify(std::string_view aBytes, std::string_view aTag) const;

private:
  std::vector<std::string> mKeys;
};

} // namespace heatherfork::detail
