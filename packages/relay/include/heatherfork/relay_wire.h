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

/// Translates between a deployment's protocols and this project's types.
/// Implementations are stateless and make no routing decisions.
namespace heatherfork {

using relay::HttpHead;

/// Properties of a replica's response, besides its status.
struct ResponseFlags
{
  bool mIsForRequest = false;  ///< The response belongs to the request sent.
  bool mIsSigned = false;      ///< The replica has signed the response.
  bool mIsNotRun = false;      ///< The request did not and will not run.
  bool mIsMisdirected = false; ///< Another replica now uses the address.
  bool mIsEncoded = false;     ///< Content-encoded, unlike the signed body.
  /// Requests that the replica takes from all nodes together.
  std::optional<RequestRate> mLimit;
  bool mIsLimitMalformed = false;
  bool mIsLeaving = false; ///< The replica takes no new requests.
  /// Requested by a replica that rejected the request.
  std::optional<Duration> mBackoff;
  bool mIsBackoffMalformed = false;
};

/// A request to the store; its kind determines the format of the answer.
struct StoreCall
{
  enum class Kind
  {
    kItem,  ///< Reads one item.
    kRange, ///< Reads all items under a prefix, in pages.
    kWatch, ///< Waits for changes under a prefix after a revision.
  };
  Kind mKind = Kind::kItem;
  std::string mPath; ///< A key or a prefix.
  std::string mFrom; ///< Last key of the previous page of a range.
  Revision mAfter = 0;
  Duration mWait{};
  StoreEra mEra = 0; ///< Of mAfter and of the copy that the answer goes into.
};

/// An item of the store, or its deletion. An item that can't be read has a key
/// alone.
struct StoreItem
{
  std::string mKey;
  std::string mValue;
  Revision mRevision = 0;
  bool mIsDeleted = false;
};

/// The store's answer, as of revision mAt.
struct StoreAnswer
{
  enum class Status
  {
    kOk,
    kMissing,   ///< The item does not exist.
    kCompacted, ///< The watch's revision is too old: read again.
    kRefused,
    kMalformed,
  };
  Status mStatus = Status::kMalformed;
  std::vector<StoreItem> mItems;
  std::string mLastKey; ///< After which the next page of a range begins.
  bool mHasMore = false;
  Revision mAt = 0;
  std::optional<StoreEra> mEra; ///< Empty if the store does not name it.
};

/// A request for the entries: the addresses at which nodes take callers.
struct EntriesCall
{
  std::string mZone; ///< The caller's availability zone.
};

class RelayWire
{
public:
  virtual ~RelayWire() = default;

  // Caller requests.

  /// Parses a caller's request. Returns an error if it is invalid.
  virtual std::variant<RelayRequest, Error> ReadRequest(
    const HttpHead& aHead,
    std::string_view aBody) const = 0;

  /// Writes a complete error response. aRequest is the caller's request id.
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

  // Replica calls.

  /// Writes the caller's request for a replica, up to its body. aTimeLeft is
  /// the time until the deadline.
  virtual std::string WriteCallHead(const HttpHead& aHead,
                                    std::size_t aBodyBytes,
                                    const StartCall& aCall,
                                    Duration aTimeLeft) const = 0;
  virtual ResponseFlags ReadReply(const HttpHead& aHead,
                                  const std::string& aRequest) const = 0;

  /// Returns the KV cache handle in a prefill response; empty if absent.
  virtual std::string ReadCacheId(std::string_view aBody) const = 0;
  virtual std::string WriteFreeKv(const FreeKv& aFree) const = 0;

  // Store calls.

  virtual std::string WriteStoreCall(const Address& aStore,
                                     const StoreCall& aCall) const = 0;
  virtual StoreAnswer ReadStoreAnswer(const StoreCall& aCall,
                                      const HttpHead& aHead,
                                      std::string_view aBody) const = 0;

  /// Key of the routing configuration and prefix of the replicas.
  virtual std::string RoutingKey() const = 0;
  virtual std::string ReplicasPrefix() const = 0;

  /// Returns null and sets aReason if the value is invalid.
  virtual RoutingPtr ReadRouting(std::string_view aValue,
                                 std::string& aReason) const = 0;

  /// Describes each field of a routing value that is missing, of another type
  /// or unknown. ReadRouting skips the parts that need it.
  virtual std::vector<std::string> CheckRoutingFields(
    std::string_view aValue) const = 0;
  virtual std::optional<Replica> ReadReplica(const std::string& aKey,
                                             std::string_view aValue,
                                             std::string& aReason) const = 0;
};

} // namespace heatherfork
