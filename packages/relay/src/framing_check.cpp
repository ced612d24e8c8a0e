#include "heatherfork/detail/relay/framing_check.h"

#include <cctype>

#include "heatherfork/detail/relay/http_grammar.h"

namespace heatherfork::relay {

namespace {

constexpr std::string_view kVersionText = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool
IsDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

} // namespace

bool
FramingCheck::Add(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    if (mPart == Part::kDone || mPart == Part::kBroken) {
      break;
    }
    const Part next = Next(byte);
    mAt = next == mPart ? mAt + 1 : 0;
    mPart = next;
  }
  return mPart != Part::kBroken;
}

FramingCheck::Part
FramingCheck::Next(char aByte)
{
  const auto require = [](bool aIsValid, Part aNext) {
    return aIsValid ? aNext : Part::kBroken;
  };
  switch (mPart) {
    case Part::kVersion:
      return NextInVersion(aByte);
    case Part::kStatus:
      return NextInStatus(aByte);
    case Part::kReason:
    case Part::kValue:
      return aByte == '\r' ? Part::kLineEnd : require(!IsControl(aByte), mPart);
    case Part::kLineEnd:
      return require(aByte == '\n', Part::kLineStart);
    case Part::kLineStart:
      return aByte == '\r' ? Part::kLastLineEnd
                           : require(IsTokenChar(aByte), Part::kName);
    case Part::kName:
      return aByte == ':' ? Part::kValue : require(IsTokenChar(aByte), mPart);
    case Part::kLastLineEnd:
      return require(aByte == '\n', Part::kDone);
    case Part::kChunkEnd:
      return require(aByte == '\r', Part::kChunkLineEnd);
    case Part::kChunkLineEnd:
      return require(aByte == '\n', Part::kChunkSize);
    case Part::kChunkSize:
      return NextInChunkSize(aByte);
    case Part::kChunkExtension:
      return aByte == '\r' ? Part::kChunkSizeEnd
                           : require(!IsControl(aByte), mPart);
    case Part::kChunkSizeEnd:
      return require(aByte == '\n',
                     mIsLastChunk ? Part::kLineStart : Part::kDone);
    case Part::kDone:
    case Part::kBroken:
      break;
  }
  return mPart;
}

FramingCheck::Part
FramingCheck::NextInVersion(char aByte)
{
  if (mAt < kVersionText.size()) {
    return aByte == kVersionText[mAt] ? Part::kVersion : Part::kBroken;
  }
  if (mAt == kVersionText.size()) {
    return aByte == '0' || aByte == '1' ? Part::kVersion : Part::kBroken;
  }
  return aByte == ' ' ? Part::kStatus : Part::kBroken;
}

FramingCheck::Part
FramingCheck::NextInStatus(char aByte)
{
  if (mAt == kStatusDigits) {
    return aByte == ' ' ? Part::kReason : Part::kBroken;
  }
  if (!IsDigit(aByte)) {
    return Part::kBroken;
  }
  mStatus = mStatus * 10 + (aByte - '0');
  const bool isWhole = mAt + 1 == kStatusDigits;
  return isWhole && !IsResponseStatus(mStatus) ? Part::kBroken : Part::kStatus;
}

FramingCheck::Part
FramingCheck::NextInChunkSize(char aByte)
{
  if (std::isxdigit(static_cast<unsigned char>(aByte)) != 0) {
    mHasChunkSize = true;
    mIsLastChunk = mIsLastChunk && aByte == '0';
    return Part::kChunkSize;
  }
  if (!mHasChunkSize) {
    return Part::kBroken;
  }
  if (aByte == '\r') {
    return Part::kChunkSizeEnd;
  }
  return aByte == ' ' || aByte == '\t' || aByte == ';' ? Part::kChunkExtension
                                                       : Part::kBroken;
}

} // namespace heatherfork::relay
