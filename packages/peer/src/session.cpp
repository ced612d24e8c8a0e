#include "heatherfork/detail/peer/session.h"

#include <algorithm>
#include <utility>

#include "heatherfork/peer_frame.h"

namespace heatherfork::detail {

namespace {

// Frame layout: length of the rest (4 bytes, little endian), kind (1 byte),
// payload, tag. The sequence number isn't sent; both sides count frames.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kKindBytes = 1;
constexpr std::size_t kMinLength = kKindBytes + kTagBytes;
constexpr std::size_t kMaxGreetingBytes =
  1024; ///< Limit before authentication.

std::string
LittleEndian(std::uint64_t aValue, std::size_t aBytes)
{
  std::string bytes;
  for (std::size_t i = 0; i < aBytes; ++i) {
    bytes.push_back(static_cast<char>((aValue >> (8 * i)) & 0xff));
  }
  return bytes;
}

std::size_t
ReadLength(std::string_view aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= std::size_t{ static_cast<std::uint8_t>(aBytes[i]) } << (8 * i);
  }
  return length;
}

std::string_view
AsStringView(const Nonce& aNonce)
{
  return { reinterpret_cast<const char*>(aNonce.data()), aNonce.size() };
}

Session::Side
OtherSide(Session::Side aSide)
{
  return aSide == Session::Side::kDialer ? Session::Side::kAcceptor
                                         : Session::Side::kDialer;
}

bool
IsFrameKind(std::uint8_t aKind)
{
  return aKind >= static_cast<std::uint8_t>(FrameKind::kHello) &&
         aKind <= static_cast<std::uint8_t>(FrameKind::kGoodbye);
}

} // namespace

Session::Session(Side aSide,
                 std::shared_ptr<const KeyRing> aKeys,
                 const Nonce& aNonce)
  : mSide(aSide)
  , mKeys(std::move(aKeys))
  , mOwnNonce(aNonce)
{
}

std::string
Session::InitialBytes() const
{
  return std::string(AsStringView(mOwnNonce));
}

std::string
Session::TagInput(Side aSide,
                  std::uint64_t aSequence,
                  std::string_view aFrame) const
{
  const bool isDialer = mSide == Side::kDialer;
  std::string input;
  input.reserve(1 + (2 * kNonceBytes) + sizeof(aSequence) + aFrame.size());
  input.push_back(aSide == Side::kDialer ? 'D' : 'A');
  input.append(AsStringView(isDialer ? mOwnNonce : mPeerNonce));
  input.append(AsStringView(isDialer ? mPeerNonce : mOwnNonce));
  input.append(LittleEndian(aSequence, sizeof(aSequence)));
  input.append(aFrame);
  return input;
}

std::string
Session::Seal(FrameKind aKind, std::string_view aPayload)
{
  std::string body(1, static_cast<char>(aKind));
  body.append(aPayload);
  const std::string tag = mKeys->Sign(TagInput(mSide, mSentFrames, body));
  ++mSentFrames;
  return LittleEndian(body.size() + tag.size(), kLengthBytes) + body + tag;
}

bool
Session::ReadPeerNonce()
{
  if (mReadBuffer.size() < kNonceBytes) {
    return false;
  }
  std::copy_n(mReadBuffer.begin(), kNonceBytes, mPeerNonce.begin());
  mReadBuffer.erase(0, kNonceBytes);
  mIsReady = true;
  return true;
}

absl::StatusOr<SessionFrame>
Session::Open(std::string_view aFrame)
{
  const std::string_view body = aFrame.substr(0, aFrame.size() - kTagBytes);
  const std::string_view tag = aFrame.substr(body.size());
  if (!mKeys->Verify(TagInput(OtherSide(mSide), mReceivedFrames, body), tag)) {
    return absl::UnauthenticatedError("frame tag does not match any key");
  }
  ++mReceivedFrames;
  const auto kind = static_cast<std::uint8_t>(body.front());
  if (!IsFrameKind(kind)) {
    return absl::InvalidArgumentError("unknown frame kind");
  }
  return SessionFrame{ static_cast<FrameKind>(kind),
                       std::string(body.substr(kKindBytes)) };
}

absl::StatusOr<std::vector<SessionFrame>>
Session::Receive(std::string_view aBytes)
{
  mReadBuffer.append(aBytes);
  std::vector<SessionFrame> frames;
  if (!mIsReady && !ReadPeerNonce()) {
    return frames;
  }
  std::size_t offset = 0;
  while (mReadBuffer.size() - offset >= kLengthBytes) {
    const std::string_view rest = std::string_view(mReadBuffer).substr(offset);
    const std::size_t length = ReadLength(rest);
    const std::size_t limit =
      mIsAuthenticated ? kMaxPeerFrameBytes : kMaxGreetingBytes;
    if (length < kMinLength || length > limit) {
      return absl::InvalidArgumentError("frame length out of range");
    }
    if (rest.size() < kLengthBytes + length) {
      break;
    }
    auto frame = Open(rest.substr(kLengthBytes, length));
    if (!frame.ok()) {
      return frame.status();
    }
    frames.push_back(*std::move(frame));
    offset += kLengthBytes + length;
  }
  mReadBuffer.erase(0, offset);
  return frames;
}

} // namespace heatherfork::detail
