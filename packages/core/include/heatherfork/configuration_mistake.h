#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// Validation errors of a published configuration, with stable codes.
namespace heatherfork {

/// 60x: bytes and JSON; 61x: values; 62x: references and rules.
enum class MistakeCode : std::uint16_t
{
  kBadJson = 601,
  kTooLarge = 602,
  kTooDeep = 603,
  kPartAbsent = 604,
  kDigestMismatch = 605,
  kMissingPart = 606,
  kUnknownPart = 607,
  kTooManyMistakes = 608,
  kWrongType = 611,
  kMissingKey = 612,
  kUnknownKey = 613,
  kDuplicateKey = 614,
  kBadName = 615,
  kOutOfRange = 616,
  kBadValue = 617,
  kDuplicate = 621,
  kUnknownReference = 622,
  kClassConflict = 623,
  kNotForCompletions = 624,
  kTooFewServers = 625,
  kRetentionTooShort = 626,
};

/// Entry of the mistake table.
struct MistakeInfo
{
  MistakeCode mCode;
  std::string_view mIdentifier; ///< Stable, such as "out-of-range".
};

/// All table entries, by code.
std::span<const MistakeInfo>
AllMistakes();

const MistakeInfo&
InfoOf(MistakeCode aCode);

/// A mistake and its location. Contains no value that may be secret.
struct ConfigurationMistake
{
  MistakeCode mCode = MistakeCode::kBadJson;
  std::string mPart;     ///< "head" or the part key, such as "pool/clerk".
  std::string mPath;     ///< JSON pointer (RFC 6901); empty for the root.
  std::string mExpected; ///< Such as "an integer from 1 to 10000".
  std::string mFound;    ///< Such as "0".

  auto operator<=>(const ConfigurationMistake&) const = default;
};

/// Formats a mistake as "pool/clerk /servers/3/slots: expected ..., found ...
/// (616 out-of-range)".
std::string
ToString(const ConfigurationMistake& aMistake);

} // namespace heatherfork
