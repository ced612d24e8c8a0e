#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "heatherfork/detail/relay/framing_check.h"

/// Strict parser for HTTP/1.1 messages.
namespace heatherfork::relay {

struct HttpField
{
  std::string mName; ///< With its original case.
  std::string mValue;
  auto operator<=>(const HttpField&) const = default;
};

/// Start line and fields of a request or response.
struct HttpHead
{
  std::string mMethod; ///< Requests only.
  std::string mTarget; ///< Requests only.
  int mStatus = 0;     ///< Responses only.
  std::string mReason; ///< Responses only.
  std::vector<HttpField> mFields;
  bool mKeepAlive = false;
  bool mIsFramed = false; ///< By length or chunks, not by connection close.
  bool mHasBody = false;
  std::optional<std::uint64_t> mLength; ///< Of the body, if declared.

  /// Returns the value of the first field of this name, ignoring case, or null.
  const std::string* Find(std::string_view aName) const;

  auto operator<=>(const HttpHead&) const = default;
};

/// Compares two field names, ignoring case.
bool
IsSameField(std::string_view aOne, std::string_view aTwo);

/// Whether a field applies to one connection only and must not be forwarded.
/// Includes the fields that the head's Connection field lists.
bool
IsHopByHop(const HttpHead& aHead, std::string_view aName);

/// Appends "Name: value" and CRLF.
void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

/// Why a message is rejected. The connection must be closed then.
enum class HttpFault
{
  kNone,
  kBadHead,
  kHeadTooLarge,
  kBadBody,
  kBodyTooLarge,
};

/// Parses consecutive messages of one direction of a connection. Rejects what
/// two implementations may parse differently, which would allow request
/// smuggling: bare CR or LF, folded fields, blanks before a colon, several
/// lengths, and any transfer coding other than "chunked". Rejects a response
/// whose status is none of HTTP's, or switches protocols. Rejects a broken
/// response as soon as its bytes show it.
class HttpReader
{
public:
  enum class Kind
  {
    kRequest,
    kResponse,
  };

  HttpReader(Kind aKind, std::size_t aMaxHeadBytes, std::size_t aMaxBodyBytes);
  ~HttpReader();

  /// Consumes bytes from the front of aBuffer and appends decoded body bytes to
  /// aBody. Stops at the end of a message. Complexity: linear.
  void Read(std::string& aBuffer, std::string& aBody);

  /// Ends the input: the other side closed the connection.
  void ReadEnd();

  bool HasHead() const { return mHasHead; }
  bool IsDone() const;
  bool HasBegun() const { return mHasBegun; }
  HttpFault Fault() const { return mFault; }
  const HttpHead& Head() const { return mHead; }

  /// Moves the head of a message that is done. Reset must follow.
  HttpHead TakeHead() { return std::move(mHead); }

  /// Prepares for the next message. aIsHeadRequest: the message is the response
  /// to a HEAD request, so it has no body.
  void Reset(bool aIsHeadRequest = false);

private:
  class Parser;
  template<bool kIsRequest>
  class ParserOf;

  bool HasBrokenFraming(std::string_view aBuffer);
  void ReadHead(std::string& aBuffer);
  void ReadBody(std::string& aBuffer, std::string& aBody);

  Kind mKind;
  std::size_t mMaxHeadBytes;
  std::size_t mMaxBodyBytes;
  std::size_t mBodyBytes = 0;
  std::size_t mScannedBytes = 0; ///< Scanned without finding the head's end.
  FramingCheck mFraming = FramingCheck::OfHead();
  std::size_t mCheckedBytes = 0; ///< Of the buffer, by mFraming.
  std::unique_ptr<Parser> mParser;
  HttpHead mHead;
  HttpFault mFault = HttpFault::kNone;
  bool mHasHead = false;
  bool mHasBegun = false;
};

} // namespace heatherfork::relay
