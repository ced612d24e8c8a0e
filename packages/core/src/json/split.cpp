#include "heatherfork/detail/json/split.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "heatherfork/detail/text.h"

namespace heatherfork::detail::json {

namespace {

using Piece = std::string_view;

struct MemberText
{
  Piece mKey; ///< With its quotes.
  Piece mValue;
};

/// Takes pieces from the front of a text.
class Scanner
{
public:
  explicit Scanner(Piece aText)
    : mText(aText)
  {
  }

  /// Takes a character if it is the next one after blanks.
  bool Take(char aChar)
  {
    SkipBlanks();
    if (!mText.starts_with(aChar)) {
      return false;
    }
    mText.remove_prefix(1);
    return true;
  }

  bool IsAtEnd()
  {
    SkipBlanks();
    return mText.empty();
  }

  /// Takes a string, a container or any other run of characters up to the end
  /// of a member. Empty if there is none.
  Piece TakeValue()
  {
    SkipBlanks();
    std::size_t end = 0;
    int depth = 0;
    while (end < mText.size()) {
      const char next = mText[end];
      if (depth == 0 && kEnds.find(next) != Piece::npos) {
        break;
      }
      if (next == '"') {
        end = StringEnd(end);
      } else {
        depth += kOpening.find(next) != Piece::npos ? 1 : 0;
        depth -= kClosing.find(next) != Piece::npos ? 1 : 0;
        ++end;
      }
    }
    const Piece value = mText.substr(0, end);
    mText.remove_prefix(end);
    return value;
  }

private:
  static constexpr Piece kBlanks = " \t\r\n";
  static constexpr Piece kEnds = ",:]} \t\r\n";
  static constexpr Piece kOpening = "[{";
  static constexpr Piece kClosing = "]}";

  void SkipBlanks()
  {
    mText.remove_prefix(
      std::min(mText.find_first_not_of(kBlanks), mText.size()));
  }

  /// The position after the string that starts at a position.
  std::size_t StringEnd(std::size_t aStart) const
  {
    std::size_t end = aStart + 1;
    while (end < mText.size() && mText[end] != '"') {
      end += mText[end] == '\\' ? 2 : 1;
    }
    return std::min(end + 1, mText.size());
  }

  Piece mText;
};

std::optional<std::vector<Piece>>
SplitArray(Piece aText)
{
  Scanner scanner(aText);
  std::vector<Piece> items;
  if (!scanner.Take('[')) {
    return std::nullopt;
  }
  if (scanner.Take(']')) {
    return items;
  }
  do {
    items.push_back(scanner.TakeValue());
    if (items.back().empty()) {
      return std::nullopt;
    }
  } while (scanner.Take(','));
  return scanner.Take(']') ? std::optional(std::move(items)) : std::nullopt;
}

std::optional<std::vector<MemberText>>
SplitObject(Piece aText)
{
  Scanner scanner(aText);
  std::vector<MemberText> members;
  if (!scanner.Take('{')) {
    return std::nullopt;
  }
  do {
    const Piece key = scanner.TakeValue();
    if (!key.starts_with('"') || !scanner.Take(':')) {
      return std::nullopt;
    }
    members.push_back({ key, scanner.TakeValue() });
  } while (scanner.Take(','));
  return scanner.Take('}') && scanner.IsAtEnd()
           ? std::optional(std::move(members))
           : std::nullopt;
}

std::optional<Piece>
FindMember(Piece aObject, Piece aKey)
{
  const auto members = SplitObject(aObject);
  if (!members) {
    return std::nullopt;
  }
  const std::string key = Concat("\"", aKey, "\"");
  for (const MemberText& member : *members) {
    if (member.mKey == key) {
      return member.mValue;
    }
  }
  return std::nullopt;
}

void
AppendUtf8(std::string& aText, std::uint32_t aCode)
{
  const auto append = [&aText](std::uint32_t aByte) {
    aText.push_back(static_cast<char>(aByte));
  };
  const auto appendTail = [&](int aShift) {
    append(0x80 | ((aCode >> aShift) & 0x3f));
  };
  if (aCode < 0x80) {
    append(aCode);
  } else if (aCode < 0x800) {
    append(0xc0 | (aCode >> 6));
    appendTail(0);
  } else if (aCode < 0x10000) {
    append(0xe0 | (aCode >> 12));
    appendTail(6);
    appendTail(0);
  } else {
    append(0xf0 | (aCode >> 18));
    appendTail(12);
    appendTail(6);
    appendTail(0);
  }
}

// Reads "\uXXXX" at the front of a text.
std::optional<std::uint32_t>
ReadCodeUnit(Piece aText)
{
  constexpr std::size_t kDigits = 4;
  constexpr int kBase = 16;
  if (!aText.starts_with("\\u") || aText.size() < 2 + kDigits) {
    return std::nullopt;
  }
  const Piece digits = aText.substr(2, kDigits);
  std::uint32_t unit = 0;
  const auto [rest, ec] =
    std::from_chars(digits.data(), digits.data() + digits.size(), unit, kBase);
  return ec == std::errc{} && rest == digits.data() + digits.size()
           ? std::optional(unit)
           : std::nullopt;
}

// Appends the character of the escape at the front of a text, and returns the
// escape's length.
std::size_t
AppendUnescaped(Piece aText, std::string& aOut)
{
  constexpr std::size_t kUnitLength = 6;
  if (const auto unit = ReadCodeUnit(aText)) {
    const auto next = ReadCodeUnit(aText.substr(kUnitLength));
    const bool isPair = *unit >= 0xd800 && *unit < 0xdc00 && next &&
                        *next >= 0xdc00 && *next < 0xe000;
    AppendUtf8(aOut,
               isPair ? 0x10000 + ((*unit - 0xd800) << 10) + (*next - 0xdc00)
                      : *unit);
    return isPair ? 2 * kUnitLength : kUnitLength;
  }
  constexpr Piece kNames = "bfnrt";
  constexpr Piece kCharacters = "\b\f\n\r\t";
  const char name = aText.size() > 1 ? aText[1] : '\\';
  const std::size_t at = kNames.find(name);
  aOut.push_back(at == Piece::npos ? name : kCharacters[at]);
  return std::min<std::size_t>(2, aText.size());
}

} // namespace

std::optional<SplitDocument>
SplitAt(std::string_view aDocument, std::string_view aKey)
{
  const auto array = FindMember(aDocument, aKey);
  auto items = array ? SplitArray(*array) : std::nullopt;
  if (!items) {
    return std::nullopt;
  }
  const auto start = static_cast<std::size_t>(array->data() - aDocument.data());
  return SplitDocument{ Concat(aDocument.substr(0, start),
                               "[]",
                               aDocument.substr(start + array->size())),
                        std::move(*items) };
}

std::optional<std::string>
FindString(std::string_view aObject, std::string_view aKey)
{
  const auto value = FindMember(aObject, aKey);
  constexpr std::size_t kQuotes = 2;
  if (!value || value->size() < kQuotes || !value->starts_with('"') ||
      !value->ends_with('"')) {
    return std::nullopt;
  }
  Piece left = value->substr(1, value->size() - kQuotes);
  std::string text;
  while (!left.empty()) {
    if (left.front() != '\\') {
      text.push_back(left.front());
      left.remove_prefix(1);
      continue;
    }
    left.remove_prefix(AppendUnescaped(left, text));
  }
  return text;
}

} // namespace heatherfork::detail::json
