#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include <Poco/JSON/Object.h>

/// Parses JSON from untrusted sources.
namespace heatherfork::detail {

/// Parses one JSON object. Returns InvalidArgument when it is malformed, not
/// UTF-8, or nested deeper than 32 levels. Never throws.
absl::StatusOr<Poco::JSON::Object::Ptr>
ParseJsonObject(const std::string& aText);

/// Return the member as a string, integer or Boolean; nullopt when it is absent
/// or of another type.
std::optional<std::string>
GetText(const Poco::JSON::Object& aObject, const std::string& aKey);
std::optional<std::int64_t>
GetNumber(const Poco::JSON::Object& aObject, const std::string& aKey);
std::optional<bool>
GetBool(const Poco::JSON::Object& aObject, const std::string& aKey);

/// Returns the member as JSON text, or nullopt when it is absent.
std::optional<std::string>
GetJson(const Poco::JSON::Object& aObject, const std::string& aKey);

/// Serialises an object on one line.
std::string
ToText(const Poco::JSON::Object& aObject);

/// Converts to and from hexadecimal. ToHex writes 16 lower-case digits; FromHex
/// returns nullopt for malformed text.
std::string
ToHex(std::uint64_t aNumber);
std::optional<std::uint64_t>
FromHex(const std::string& aText);

} // namespace heatherfork::detail
