#include "heatherfork/detail/requests/prompt_prefixes.h"

#include <string_view>

#include "heatherfork/detail/hash.h"

namespace heatherfork::detail {

namespace {

constexpr std::size_t kBlockBytes = 1024;
constexpr std::size_t kMaxBlocks = 32;

} // namespace

std::vector<std::uint64_t>
PrefixHashes(const Request& aRequest)
{
  std::vector<std::uint64_t> hashes;
  if (aRequest.mKind != RequestKind::kCompletion) {
    return hashes;
  }
  const std::string_view prompt = aRequest.mBody;
  std::uint64_t hash =
    Hash(aRequest.mAdapter.mValue, Hash(aRequest.mModel.mValue));
  for (std::size_t n = 0; n < kMaxBlocks; ++n) {
    const std::size_t begin = n * kBlockBytes;
    if (begin + kBlockBytes > prompt.size()) {
      break;
    }
    hash = Hash(prompt.substr(begin, kBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

} // namespace heatherfork::detail
