#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include "heatherfork/configuration.h"
#include "heatherfork/error.h"
#include "heatherfork/event.h"
#include "heatherfork/member.h"
#include "heatherfork/peer_message.h"
#include "heatherfork/server_call.h"

/// Names of enumerators in traces.
namespace heatherfork::detail::trace {

template<class Enum>
struct EnumName
{
  Enum mValue;
  std::string_view mName;
};

// The compiler of the fuzz targets lacks class template argument deduction for
// aggregates.
template<class Enum>
EnumName(Enum, std::string_view) -> EnumName<Enum>;

/// The names of an enumeration's values; specialised for each traced type.
template<class Enum>
inline constexpr std::array<EnumName<Enum>, 0> kEnumNames{};

template<>
inline constexpr std::array kEnumNames<Role>{
  EnumName{ Role::kPrefill, "prefill" },
  EnumName{ Role::kDecode, "decode" },
  EnumName{ Role::kPlain, "plain" },
};

template<>
inline constexpr std::array kEnumNames<RequestKind>{
  EnumName{ RequestKind::kCompletion, "completion" },
  EnumName{ RequestKind::kPlainCall, "plain-call" },
};

template<>
inline constexpr std::array kEnumNames<VmRole>{
  EnumName{ VmRole::kEntry, "entry" },
  EnumName{ VmRole::kBackend, "backend" },
};

template<>
inline constexpr std::array kEnumNames<CallStatus>{
  EnumName{ CallStatus::kOk, "ok" },
  EnumName{ CallStatus::kNotSent, "not-sent" },
  EnumName{ CallStatus::kRefused, "refused" },
  EnumName{ CallStatus::kCancelled, "cancelled" },
  EnumName{ CallStatus::kFailed, "failed" },
  EnumName{ CallStatus::kBroken, "broken" },
};

template<>
inline constexpr std::array kEnumNames<OrderKind>{
  EnumName{ OrderKind::kLoadModel, "load-model" },
  EnumName{ OrderKind::kUnloadModel, "unload-model" },
  EnumName{ OrderKind::kLoadAdapter, "load-adapter" },
  EnumName{ OrderKind::kUnloadAdapter, "unload-adapter" },
  EnumName{ OrderKind::kSetRole, "set-role" },
};

template<>
inline constexpr std::array kEnumNames<PlacementStep>{
  EnumName{ PlacementStep::kReserved, "reserved" },
  EnumName{ PlacementStep::kPrefilled, "prefilled" },
  EnumName{ PlacementStep::kTransferred, "transferred" },
  EnumName{ PlacementStep::kFirstToken, "first-token" },
};

template<>
inline constexpr std::array kEnumNames<PlacementResult>{
  EnumName{ PlacementResult::kDone, "done" },
  EnumName{ PlacementResult::kAbandoned, "abandoned" },
  EnumName{ PlacementResult::kServerFailed, "server-failed" },
};

template<>
inline constexpr std::array kEnumNames<MemberStatus>{
  EnumName{ MemberStatus::kAlive, "alive" },
  EnumName{ MemberStatus::kSuspect, "suspect" },
  EnumName{ MemberStatus::kLeaving, "leaving" },
  EnumName{ MemberStatus::kDead, "dead" },
};

template<>
inline constexpr std::array kEnumNames<Outcome>{
  EnumName{ Outcome::kNotRun, "not-run" },
  EnumName{ Outcome::kUnknown, "unknown" },
  EnumName{ Outcome::kRanAndFailed, "ran-and-failed" },
};

/// Returns the name of an enumerator; empty for an unknown value.
template<class Enum>
std::string_view
NameOf(Enum aValue)
{
  static_assert(!kEnumNames<Enum>.empty(),
                "kEnumNames needs a specialisation for this type");
  const auto& names = kEnumNames<Enum>;
  const auto it = std::find_if(
    names.begin(), names.end(), [aValue](const EnumName<Enum>& aItem) {
      return aItem.mValue == aValue;
    });
  return it == names.end() ? std::string_view{} : it->mName;
}

/// Error codes are written as their stable identifiers.
template<>
inline std::string_view
NameOf(ErrorCode aValue)
{
  for (const ErrorInfo& info : AllErrors()) {
    if (info.mCode == aValue) {
      return info.mIdentifier;
    }
  }
  return {};
}

/// Returns the enumerator with the given name.
template<class Enum>
std::optional<Enum>
FromName(std::string_view aName)
{
  for (const EnumName<Enum>& item : kEnumNames<Enum>) {
    if (item.mName == aName) {
      return item.mValue;
    }
  }
  return std::nullopt;
}

template<>
inline std::optional<ErrorCode>
FromName(std::string_view aName)
{
  for (const ErrorInfo& info : AllErrors()) {
    if (info.mIdentifier == aName) {
      return info.mCode;
    }
  }
  return std::nullopt;
}

} // namespace heatherfork::detail::trace
