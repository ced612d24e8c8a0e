#pragma once

#include <concepts>
#include <string>
#include <string_view>

/// String concatenation. The packaged absl::StrCat was built for an older
/// language standard and does not accept std::string_view.
namespace heatherfork::detail {

inline void
AppendPiece(std::string& aText, std::string_view aPiece)
{
  aText.append(aPiece);
}

template<std::integral Number>
void
AppendPiece(std::string& aText, Number aNumber)
{
  aText.append(std::to_string(aNumber));
}

/// Concatenates strings and integers.
template<class... Pieces>
std::string
Concat(const Pieces&... aPieces)
{
  std::string text;
  (AppendPiece(text, aPieces), ...);
  return text;
}

} // namespace heatherfork::detail
