#pragma once

#include <map>
#include <optional>
#include <string>

#include "heatherfork/configuration_document.h"
#include "heatherfork/peer_message.h"

/// Recent configuration heads and the differences between them.
namespace heatherfork::detail {

/// Stores the newest heads as bases for differences.
class HeadStore
{
public:
  void Add(const ConfigurationHead& aHead);

  /// Encodes aHead relative to revision aBase, or in full when aBase is not
  /// stored.
  HeadReply Difference(const ConfigurationHead& aHead, Revision aBase) const;

  /// Decodes a head. Returns nothing when the base is not stored or the digest
  /// does not match.
  std::optional<ConfigurationHead> Apply(const HeadReply& aReply) const;

  /// True when a stored head refers to this part.
  bool ContainsDigest(const std::string& aDigest) const;

private:
  const ConfigurationHead* Find(Revision aRevision) const;

  std::map<Revision, ConfigurationHead> mHeads;
};

} // namespace heatherfork::detail
