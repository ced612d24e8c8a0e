#pragma once

#include <cstdint>
#include <unordered_set>

/// Bounded memory of content.
namespace heatherfork::detail {

/// A prompt part, by its id, or a whole request, by its fingerprint.
using ContentId = std::uint64_t;

/// Remembers at least the kCapacity latest contents. In two generations, so
/// that old ones are forgotten without a time for each.
class RecentContent
{
public:
  static constexpr std::size_t kCapacity = 4096;

  void Add(ContentId aContent)
  {
    mNewer.insert(aContent);
    if (mNewer.size() >= kCapacity) {
      mOlder.swap(mNewer);
      mNewer.clear();
    }
  }

  bool Contains(ContentId aContent) const
  {
    return mNewer.contains(aContent) || mOlder.contains(aContent);
  }

private:
  std::unordered_set<ContentId> mNewer;
  std::unordered_set<ContentId> mOlder;
};

} // namespace heatherfork::detail
