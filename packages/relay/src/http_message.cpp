#include "heatherfork/detail/relay/http_message.h"

#include <algorithm>
#include <cctype>
#include <limits>

#include <boost/beast/http/basic_parser.hpp>

#include "heatherfork/detail/relay/http_grammar.h"

namespace heatherfork::relay {

namespace {

namespace beast = boost::beast::http;

char
Lower(char aChar)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
}

std::string_view
Trimmed(std::string_view aText)
{
  const auto isBlank = [](char aChar) { return aChar == ' ' || aChar == '\t'; };
  while (!aText.empty() && isBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && isBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Checks a field line: a name of token characters, a colon, no control
// characters. This also rejects a folded line, which starts with a blank.
bool
IsFieldLine(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  return colon != std::string_view::npos && colon > 0 &&
         std::all_of(aLine.begin(), aLine.begin() + colon, IsTokenChar) &&
         std::none_of(aLine.begin() + colon, aLine.end(), IsControl);
}

// Collects the framing fields, to reject what two parsers may read differently.
struct FramingFields
{
  int mLengthCount = 0;
  int mCodingCount = 0;
  bool mIsValid = true;

  void Add(std::string_view aLine)
  {
    const std::size_t colon = aLine.find(':');
    const std::string_view name = aLine.substr(0, colon);
    const std::string_view value = Trimmed(aLine.substr(colon + 1));
    if (IsSameField(name, "Content-Length")) {
      ++mLengthCount;
      mIsValid = mIsValid && !value.empty() &&
                 std::all_of(value.begin(), value.end(), [](char aChar) {
                   return aChar >= '0' && aChar <= '9';
                 });
    } else if (IsSameField(name, "Transfer-Encoding")) {
      ++mCodingCount;
      mIsValid = mIsValid && IsSameField(value, "chunked");
    }
  }

  bool IsUnambiguous() const
  {
    return mIsValid && mLengthCount + mCodingCount <= 1;
  }
};

// Checks a head that ends with an empty line. CR and LF may occur only as CRLF.
bool
IsStrictHead(std::string_view aHead)
{
  FramingFields framing;
  bool isFirst = true;
  while (true) {
    const std::size_t end = aHead.find("\r\n");
    if (end == std::string_view::npos) {
      return false;
    }
    const std::string_view line = aHead.substr(0, end);
    aHead.remove_prefix(end + 2);
    if (line.empty()) {
      return !isFirst && aHead.empty() && framing.IsUnambiguous();
    }
    if (isFirst) {
      if (std::any_of(line.begin(), line.end(), IsControl)) {
        return false;
      }
      isFirst = false;
      continue;
    }
    if (!IsFieldLine(line)) {
      return false;
    }
    framing.Add(line);
  }
}

constexpr std::string_view kHeadEnd = "\r\n\r\n";

} // namespace

bool
IsSameField(std::string_view aOne, std::string_view aTwo)
{
  return aOne.size() == aTwo.size() &&
         std::equal(
           aOne.begin(), aOne.end(), aTwo.begin(), [](char aLeft, char aRight) {
             return Lower(aLeft) == Lower(aRight);
           });
}

const std::string*
HttpHead::Find(std::string_view aName) const
{
  const auto it =
    std::find_if(mFields.begin(), mFields.end(), [&](const HttpField& aField) {
      return IsSameField(aField.mName, aName);
    });
  return it == mFields.end() ? nullptr : &it->mValue;
}

bool
IsHopByHop(const HttpHead& aHead, std::string_view aName)
{
  constexpr std::string_view kHopByHop[] = {
    "Connection", "Keep-Alive",          "Proxy-Connection",
    "TE",         "Transfer-Encoding",   "Trailer",
    "Upgrade",    "Proxy-Authorization", "Proxy-Authenticate",
  };
  if (std::any_of(
        std::begin(kHopByHop),
        std::end(kHopByHop),
        [&](std::string_view aOther) { return IsSameField(aName, aOther); })) {
    return true;
  }
  for (const HttpField& field : aHead.mFields) {
    if (!IsSameField(field.mName, "Connection")) {
      continue;
    }
    std::string_view left = field.mValue;
    while (!left.empty()) {
      const std::size_t comma = std::min(left.find(','), left.size());
      if (IsSameField(Trimmed(left.substr(0, comma)), aName)) {
        return true;
      }
      left.remove_prefix(std::min(comma + 1, left.size()));
    }
  }
  return false;
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

// Common interface of the library's request and response parsers.
class HttpReader::Parser
{
public:
  virtual ~Parser() = default;
  virtual std::size_t Put(std::string_view aBytes,
                          boost::system::error_code& aError) = 0;
  virtual void PutEnd(boost::system::error_code& aError) = 0;
  virtual bool IsHeadDone() const = 0;
  virtual bool IsDone() const = 0;
  virtual void FillHead(HttpHead& aHead) const = 0;

  HttpHead* mHead = nullptr;
  std::string* mBody = nullptr;
};

template<bool kIsRequest>
class HttpReader::ParserOf final
  : public HttpReader::Parser
  , public beast::basic_parser<kIsRequest>
{
  using Base = beast::basic_parser<kIsRequest>;
  using ErrorCode = boost::system::error_code;
  using View = boost::beast::string_view;

public:
  ParserOf(std::size_t aMaxHeadBytes, bool aIsHeadRequest)
  {
    this->header_limit(static_cast<std::uint32_t>(aMaxHeadBytes));
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->skip(aIsHeadRequest);
  }

  std::size_t Put(std::string_view aBytes, ErrorCode& aError) override
  {
    return this->put(boost::asio::const_buffer(aBytes.data(), aBytes.size()),
                     aError);
  }
  void PutEnd(ErrorCode& aError) override { this->put_eof(aError); }
  bool IsHeadDone() const override { return this->is_header_done(); }
  bool IsDone() const override { return this->is_done(); }

  void FillHead(HttpHead& aHead) const override
  {
    aHead.mKeepAlive = this->keep_alive();
    aHead.mIsFramed = !this->need_eof();
    const auto length = this->content_length();
    if (length) {
      aHead.mLength = *length;
    }
    aHead.mHasBody = this->chunked() || length.value_or(0) > 0;
  }

protected:
  void on_request_impl(beast::verb,
                       View aMethod,
                       View aTarget,
                       int,
                       ErrorCode& aError) override
  {
    aError = {};
    mHead->mMethod.assign(aMethod.data(), aMethod.size());
    mHead->mTarget.assign(aTarget.data(), aTarget.size());
  }
  void on_response_impl(int aCode,
                        View aReason,
                        int,
                        ErrorCode& aError) override
  {
    aError = {};
    mHead->mStatus = aCode;
    mHead->mReason.assign(aReason.data(), aReason.size());
  }
  void on_field_impl(beast::field,
                     View aName,
                     View aValue,
                     ErrorCode& aError) override
  {
    aError = {};
    if (!this->is_header_done()) { // Trailers are ignored.
      mHead->mFields.push_back({ std::string(aName.data(), aName.size()),
                                 std::string(aValue.data(), aValue.size()) });
    }
  }
  void on_header_impl(ErrorCode& aError) override { aError = {}; }
  void on_body_init_impl(boost::optional<std::uint64_t> const&,
                         ErrorCode& aError) override
  {
    aError = {};
  }
  std::size_t on_body_impl(View aBytes, ErrorCode& aError) override
  {
    aError = {};
    mBody->append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, ErrorCode& aError) override
  {
    aError = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 View aBytes,
                                 ErrorCode& aError) override
  {
    aError = {};
    mBody->append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }
  void on_finish_impl(ErrorCode& aError) override { aError = {}; }
};

HttpReader::HttpReader(Kind aKind,
                       std::size_t aMaxHeadBytes,
                       std::size_t aMaxBodyBytes)
  : mKind(aKind)
  , mMaxHeadBytes(aMaxHeadBytes)
  , mMaxBodyBytes(aMaxBodyBytes)
{
  Reset();
}

HttpReader::~HttpReader() = default;

void
HttpReader::Reset(bool aIsHeadRequest)
{
  if (mKind == Kind::kRequest) {
    mParser = std::make_unique<ParserOf<true>>(mMaxHeadBytes, aIsHeadRequest);
  } else {
    mParser = std::make_unique<ParserOf<false>>(mMaxHeadBytes, aIsHeadRequest);
  }
  mParser->mHead = &mHead;
  mHead = HttpHead{};
  mFault = HttpFault::kNone;
  mHasHead = false;
  mHasBegun = false;
  mBodyBytes = 0;
  mScannedBytes = 0;
  mFraming = FramingCheck::OfHead();
  mCheckedBytes = 0;
}

bool
HttpReader::IsDone() const
{
  return mHasHead && mFault == HttpFault::kNone && mParser->IsDone();
}

void
HttpReader::Read(std::string& aBuffer, std::string& aBody)
{
  mHasBegun = mHasBegun || !aBuffer.empty();
  if (mFault != HttpFault::kNone || IsDone()) {
    return;
  }
  mParser->mBody = &aBody;
  if (!mHasHead) {
    ReadHead(aBuffer);
  }
  if (mHasHead && mFault == HttpFault::kNone && !IsDone()) {
    ReadBody(aBuffer, aBody);
  }
}

// A request is checked when its head is complete: its sender is told why it is
// refused, and has a time limit for the head.
bool
HttpReader::HasBrokenFraming(std::string_view aBuffer)
{
  if (mKind == Kind::kRequest) {
    return false;
  }
  const std::string_view added = aBuffer.substr(mCheckedBytes);
  mCheckedBytes = aBuffer.size();
  return !mFraming.Add(added);
}

void
HttpReader::ReadHead(std::string& aBuffer)
{
  if (HasBrokenFraming(aBuffer)) {
    mFault = HttpFault::kBadHead;
    return;
  }
  const std::size_t from = mScannedBytes < 3 ? 0 : mScannedBytes - 3;
  const std::size_t end = aBuffer.find(kHeadEnd, from);
  if (end == std::string::npos) {
    mScannedBytes = aBuffer.size();
    // A head with bare line feeds only would never be complete.
    if (aBuffer.find("\n\n", from) != std::string::npos) {
      mFault = HttpFault::kBadHead;
    } else if (aBuffer.size() > mMaxHeadBytes) {
      mFault = HttpFault::kHeadTooLarge;
    }
    return;
  }
  const std::size_t size = end + kHeadEnd.size();
  if (size > mMaxHeadBytes) {
    mFault = HttpFault::kHeadTooLarge;
    return;
  }
  const std::string_view head(aBuffer.data(), size);
  boost::system::error_code error;
  if (!IsStrictHead(head)) {
    mFault = HttpFault::kBadHead;
    return;
  }
  // One block of the right size: a head may consist of very many short fields.
  mHead.mFields.reserve(
    static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n')));
  const std::size_t used = mParser->Put(head, error);
  // need_more after a complete head only means that a body follows.
  if (error && error != beast::error::need_more) {
    mFault = HttpFault::kBadHead;
    return;
  }
  if (!mParser->IsHeadDone() || used != size) {
    mFault = HttpFault::kBadHead;
    return;
  }
  aBuffer.erase(0, size);
  mParser->FillHead(mHead);
  // A response is limited as it arrives: its listener may skip it.
  if (mKind == Kind::kRequest && mHead.mLength.value_or(0) > mMaxBodyBytes) {
    mFault = HttpFault::kBodyTooLarge;
    return;
  }
  mHasHead = true;
  mFraming = FramingCheck::OfFirstChunk();
  mCheckedBytes = 0;
}

void
HttpReader::ReadBody(std::string& aBuffer, std::string& aBody)
{
  std::size_t used = 0;
  while (used < aBuffer.size() && !mParser->IsDone()) {
    boost::system::error_code error;
    const std::size_t before = aBody.size();
    const std::size_t taken =
      mParser->Put(std::string_view(aBuffer).substr(used), error);
    used += taken;
    mBodyBytes += aBody.size() - before;
    if (mBodyBytes > mMaxBodyBytes) {
      mFault = HttpFault::kBodyTooLarge;
      break;
    }
    if (error == beast::error::need_more) {
      if (taken == 0) {
        break;
      }
      continue;
    }
    if (error) {
      mFault = HttpFault::kBadBody;
      break;
    }
    if (taken == 0) {
      break;
    }
  }
  aBuffer.erase(0, used);
  if (mFault != HttpFault::kNone || IsDone()) {
    return;
  }
  // At most an incomplete chunk-size line, or trailers, stay in the buffer.
  if (used > 0) {
    mFraming = FramingCheck::OfNextChunk();
    mCheckedBytes = 0;
  }
  if (HasBrokenFraming(aBuffer) || aBuffer.size() > mMaxHeadBytes) {
    mFault = HttpFault::kBadBody;
  }
}

void
HttpReader::ReadEnd()
{
  if (!mHasHead || mFault != HttpFault::kNone || IsDone()) {
    return;
  }
  boost::system::error_code error;
  mParser->PutEnd(error);
  if (error) {
    mFault = HttpFault::kBadBody;
  }
}

} // namespace heatherfork::relay
