#include "heatherfork/detail/scheduling/pieces.h"

#include <algorithm>

namespace heatherfork::detail {

int
PiecesFor(const Limits& aLimits, int aPromptTokens, int aMaxTokens)
{
  const int perPiece = std::max(1, aLimits.mTokensPerPiece);
  const int pieces = (aPromptTokens + aMaxTokens + perPiece - 1) / perPiece;
  return std::max(1, pieces);
}

} // namespace heatherfork::detail
