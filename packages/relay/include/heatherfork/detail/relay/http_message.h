#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages, read strictly.
namespace heatherfork::relay {

struct HttpField
{
  std::string mName; ///< As it was sent.
  std::string mValue;
  auto operator<=>(const HttpField&) const = default;
};

/// The head of a request or of a response.
struct HttpHead
{
  std::string mMethod; ///< Of a request.
  std::string mTarget; ///< Of a request.
  int mStatus = 0;     ///< Of a response.
  std::string mReason; ///< Of a response.
  std::vector<HttpField> mFields;
  bool mKeepAlive = false;
  bool mIsFramed = false; ///< By a length or by chunks, not by the end.
  bool mHasBody = false;

  /// The first field of this name in any case; null when there is none.
  const std::string* Find(std::string_view aName) const;

  auto operator<=>(const HttpHead&) const = default;
};

/// Whether two field names are the same; case does not count.
bool
IsSameField(std::string_view aOne, std::string_view aTwo);

/// Whether a field concerns only one connection and must not be passed on.
/// Those that the head's own Connection field names are such too.
bool
IsHopByHop(const HttpHead& aHead, std::string_view aName);

/// "Name: value" with line end.
void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

/// Why bytes are not a message that may be used; the connection must end.
enum class HttpFault
{
  kNone,
  kBadHead,
  kHeadTooLarge,
  kBadBody,
  kBodyTooLarge,
};

/// Reads messages of one direction of a connection, one after the other. What
/// differs in the reading of two programs is refused: bare line ends, folded
/// fields, blanks before a colon, two lengths, any coding but "chunked".
class HttpReader
{
public:
  enum class Kind
  {
    kRequest,
    kResponse,
  };

  HttpReader(Kind aKind, std::size_t aMaxHead, std::size_t aMaxBody);
  ~HttpReader();

  /// Takes bytes from the front of the buffer and adds decoded body bytes to
  /// aBody. Linear; stops at the end of a message.
  void Read(std::string& aBuffer, std::string& aBody);

  /// The connection ended in order.
  void ReadEnd();

  bool HasHead() const { return mHasHead; }
  bool IsDone() const;
  bool HasBegun() const { return mHasBegun; }
  HttpFault Fault() const { return mFault; }
  const HttpHead& Head() const { return mHead; }

  /// Begins the next message. aNoBody: the response to a HEAD request.
  void Reset(bool aNoBody = false);

private:
  class Parser;
  template<bool kIsRequest>
  class ParserOf;

  void ReadHead(std::string& aBuffer);
  void ReadBody(std::string& aBuffer, std::string& aBody);

  Kind mKind;
  std::size_t mMaxHead;
  std::size_t mMaxBody;
  std::size_t mBodyBytes = 0;
  std::size_t mSearched = 0; ///< Bytes in which no end of a head was found.
  std::unique_ptr<Parser> mParser;
  HttpHead mHead;
  HttpFault mFault = HttpFault::kNone;
  bool mHasHead = false;
  bool mHasBegun = false;
};

} // namespace heatherfork::relay
