#include "heatherfork/detail/configuration/head_store.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace heatherfork::detail {

namespace {

constexpr std::size_t kMaxHeads = 4;

std::string
DigestOfHead(const ConfigurationHead& aHead)
{
  std::string text = absl::StrCat(aHead.mRevision, "\n");
  for (const auto& [name, digest] : aHead.mDigests) {
    absl::StrAppend(&text, name, " ", digest, "\n");
  }
  return DigestOf(text);
}

} // namespace

void
HeadStore::Add(const ConfigurationHead& aHead)
{
  mHeads[aHead.mRevision] = aHead;
  if (mHeads.size() > kMaxHeads) {
    mHeads.erase(mHeads.begin());
  }
}

const ConfigurationHead*
HeadStore::Find(Revision aRevision) const
{
  const auto it = mHeads.find(aRevision);
  return it == mHeads.end() ? nullptr : &it->second;
}

HeadReply
HeadStore::Difference(const ConfigurationHead& aHead, Revision aBase) const
{
  static const ConfigurationHead kEmpty;
  const ConfigurationHead* base = Find(aBase);
  HeadReply reply{ aHead.mRevision, base ? aBase : 0, DigestOfHead(aHead) };
  const auto& baseDigests = base ? base->mDigests : kEmpty.mDigests;
  for (const auto& [name, digest] : aHead.mDigests) {
    const auto it = baseDigests.find(name);
    if (it == baseDigests.end() || it->second != digest) {
      reply.mChanged.push_back(PartDigest{ name, digest });
    }
  }
  for (const auto& [name, digest] : baseDigests) {
    if (!aHead.mDigests.contains(name)) {
      reply.mRemoved.push_back(name);
    }
  }
  return reply;
}

std::optional<ConfigurationHead>
HeadStore::Apply(const HeadReply& aReply) const
{
  const ConfigurationHead* base = Find(aReply.mBase);
  if (!base && aReply.mBase != 0) {
    return std::nullopt;
  }
  ConfigurationHead head = base ? *base : ConfigurationHead{};
  head.mRevision = aReply.mRevision;
  for (const PartDigest& part : aReply.mChanged) {
    head.mDigests[part.mName] = part.mDigest;
  }
  for (const std::string& name : aReply.mRemoved) {
    head.mDigests.erase(name);
  }
  if (DigestOfHead(head) != aReply.mDigest) {
    return std::nullopt;
  }
  return head;
}

bool
HeadStore::ContainsDigest(const std::string& aDigest) const
{
  return std::any_of(mHeads.begin(), mHeads.end(), [&](const auto& aItem) {
    const auto& digests = aItem.second.mDigests;
    return std::any_of(digests.begin(), digests.end(), [&](const auto& aPart) {
      return aPart.second == aDigest;
    });
  });
}

} // namespace heatherfork::detail
