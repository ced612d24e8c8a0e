#include "heatherfork/configuration_mistake.h"
#include "heatherfork/detail/text.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace heatherfork {

namespace {

constexpr std::array kMistakes{
  MistakeInfo{ MistakeCode::kBadJson, "bad-json" },
  MistakeInfo{ MistakeCode::kTooLarge, "too-large" },
  MistakeInfo{ MistakeCode::kTooDeep, "too-deep" },
  MistakeInfo{ MistakeCode::kPartAbsent, "part-absent" },
  MistakeInfo{ MistakeCode::kDigestMismatch, "digest-mismatch" },
  MistakeInfo{ MistakeCode::kMissingPart, "missing-part" },
  MistakeInfo{ MistakeCode::kUnknownPart, "unknown-part" },
  MistakeInfo{ MistakeCode::kTooManyMistakes, "too-many-mistakes" },
  MistakeInfo{ MistakeCode::kWrongType, "wrong-type" },
  MistakeInfo{ MistakeCode::kMissingKey, "missing-key" },
  MistakeInfo{ MistakeCode::kUnknownKey, "unknown-key" },
  MistakeInfo{ MistakeCode::kDuplicateKey, "duplicate-key" },
  MistakeInfo{ MistakeCode::kBadName, "bad-name" },
  MistakeInfo{ MistakeCode::kOutOfRange, "out-of-range" },
  MistakeInfo{ MistakeCode::kBadValue, "bad-value" },
  MistakeInfo{ MistakeCode::kDuplicate, "duplicate" },
  MistakeInfo{ MistakeCode::kUnknownReference, "unknown-reference" },
  MistakeInfo{ MistakeCode::kClassConflict, "class-conflict" },
  MistakeInfo{ MistakeCode::kNotForCompletions, "not-for-completions" },
  MistakeInfo{ MistakeCode::kTooFewServers, "too-few-servers" },
  MistakeInfo{ MistakeCode::kRetentionTooShort, "retention-too-short" },
};

} // namespace

std::span<const MistakeInfo>
AllMistakes()
{
  return kMistakes;
}

const MistakeInfo&
InfoOf(MistakeCode aCode)
{
  const auto it = std::find_if(
    kMistakes.begin(), kMistakes.end(), [aCode](const MistakeInfo& aInfo) {
      return aInfo.mCode == aCode;
    });
  // Unreachable: each enumerator has a table entry.
  if (it == kMistakes.end()) {
    std::abort();
  }
  return *it;
}

std::string
ToString(const ConfigurationMistake& aMistake)
{
  return detail::Concat(aMistake.mPart,
                        aMistake.mPath.empty() ? "" : " ",
                        aMistake.mPath,
                        ": expected ",
                        aMistake.mExpected,
                        ", found ",
                        aMistake.mFound,
                        " (",
                        static_cast<int>(aMistake.mCode),
                        " ",
                        InfoOf(aMistake.mCode).mIdentifier,
                        ")");
}

} // namespace heatherfork
