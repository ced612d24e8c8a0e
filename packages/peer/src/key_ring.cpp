#include "heatherfork/detail/peer/key_ring.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace heatherfork::detail {

namespace {

std::string
ComputeTag(const std::string& aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  const auto* bytes = reinterpret_cast<const unsigned char*>(aBytes.data());
  const auto* result = HMAC(EVP_sha256(),
                            aKey.data(),
                            static_cast<int>(aKey.size()),
                            bytes,
                            aBytes.size(),
                            digest.data(),
                            &length);
  // HMAC fails only when out of memory. Frames must never go out unsigned.
  if (!result || length < kTagBytes) {
    std::abort();
  }
  return { reinterpret_cast<const char*>(digest.data()), kTagBytes };
}

} // namespace

Nonce
RandomNonce()
{
  Nonce nonce{};
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    std::abort();
  }
  return nonce;
}

KeyRing::KeyRing(std::vector<std::string> aKeys)
  : mKeys(std::move(aKeys))
{
}

std::string
KeyRing::Sign(std::string_view aBytes) const
{
  return ComputeTag(mKeys.front(), aBytes);
}

bool
KeyRing::Verify(std::string_view aBytes, std::string_view aTag) const
{
  return std::any_of(mKeys.begin(), mKeys.end(), [&](const std::string& aKey) {
    const std::string expected = ComputeTag(aKey, aBytes);
    return aTag.size() == expected.size() &&
           CRYPTO_memcmp(aTag.data(), expected.data(), aTag.size()) == 0;
  });
}

} // namespace heatherfork::detail
