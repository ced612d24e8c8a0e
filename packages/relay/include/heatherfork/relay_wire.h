#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherfork/detail/relay/http_message.h"
#include "heatherfork/error.h"
#include "heatherfork/relay_effect.h"
#include "heatherfork/routing.h"

/// What a deployment's protocols say, in this project's types. An
/// implementation only translates: it holds no decision and no state.
namespace heatherfork {

using relay::HttpHead;

/// What a response of a replica says beside its status.
struct ReplyFacts
{
  bool mIsOurs = false;     ///< It answers the request that was sent.
  bool mIsSigned = false;   ///< The replica vouches for it.
  bool mNotRun = false;     ///< The replica has not run it and will not.
  bool mWrongPlace = false; ///< Another replica has the address.
  bool mIsEncoded = false;  ///< The body is not the replica's own.
};

/// One call of the store: a request and what its answer is.
struct StoreCall
{
  enum class Kind
  {
    kItem,  ///< One item.
    kRange, ///< All items under a prefix.
    kWatch, ///< What changes under a prefix after a revision.
  };
  Kind mKind = Kind::kItem;
  std::string mPath; ///< A key or a prefix.
  std::string mFrom; ///< Of a range: the last key of the page before.
  Revision mAfter = 0;
  Duration mWait{};
};

/// One item of the store, or its end.
struct StoreItem
{
  std::string mKey;
  std::string mValue;
  Revision mRevision = 0;
  bool mIsDeleted = false;
};

/// The store's answer.
struct StoreAnswer
{
  enum class Status
  {
    kOk,
    kMissing,     ///< No such item.
    kHistoryGone, ///< The watch's revision is too old: read all again.
    kRefused,
    kMalformed,
  };
  Status mStatus = Status::kMalformed;
  std::vector<StoreItem> mItems;
  bool mHasMore = false;
  Revision mAt = 0;
};

/// Which of this node's own calls a request is.
struct EntriesCall
{
  std::string mZone; ///< Where the caller is.
};

class RelayWire
{
public:
  virtual ~RelayWire() = default;

  // Callers.

  /// The request as decisions need it, or what is wrong with it.
  virtual std::variant<RelayRequest, Error> ReadRequest(
    const HttpHead& aHead,
    std::string_view aBody) const = 0;

  /// A whole response for an error of this node. aRequest: the caller's id.
  virtual std::string WriteError(const std::string& aRequest,
                                 const Error& aError,
                                 int aStatus,
                                 Duration aRetryAfter,
                                 bool aClose) const = 0;

  virtual std::optional<EntriesCall> ReadEntriesCall(
    const HttpHead& aHead) const = 0;
  virtual std::string WriteEntries(const std::vector<Address>& aEntries,
                                   Duration aValidity) const = 0;
  virtual bool IsReadyCall(const HttpHead& aHead) const = 0;

  // Replicas.

  /// The caller's request as it goes to a replica, with its body.
  virtual std::string WriteCall(const HttpHead& aHead,
                                std::string_view aBody,
                                const StartCall& aCall,
                                Duration aLeft) const = 0;
  virtual ReplyFacts ReadReply(const HttpHead& aHead,
                               const std::string& aRequest) const = 0;

  /// The handle in the answer to a prefill; empty when there is none.
  virtual std::string ReadCacheId(std::string_view aBody) const = 0;
  virtual std::string WriteFreeKv(const FreeKv& aFree) const = 0;

  // The store.

  virtual std::string WriteStoreCall(const Address& aStore,
                                     const StoreCall& aCall) const = 0;
  virtual StoreAnswer ReadStoreAnswer(const StoreCall& aCall,
                                      int aStatus,
                                      std::string_view aBody) const = 0;

  /// Where routes and replicas lie in the store.
  virtual std::string RoutingKey() const = 0;
  virtual std::string ReplicasPrefix() const = 0;

  /// Null, and the reason, when the value can't be used.
  virtual RoutingPtr ReadRouting(std::string_view aValue,
                                 std::string& aReason) const = 0;
  virtual std::optional<Replica> ReadReplica(const std::string& aKey,
                                             std::string_view aValue,
                                             std::string& aReason) const = 0;
};

} // namespace heatherfork
