#include "heatherfork/detail/configuration/digest.h"

#include <algorithm>

#include "heatherfork/configuration_document.h"

#include <Poco/SHA2Engine.h>

namespace heatherfork {

namespace {

constexpr std::size_t kHexDigits = 64;

bool
IsLowerHex(char aByte)
{
  return (aByte >= '0' && aByte <= '9') || (aByte >= 'a' && aByte <= 'f');
}

} // namespace

bool
detail::IsDigest(std::string_view aText)
{
  return aText.size() == kHexDigits &&
         std::all_of(aText.begin(), aText.end(), IsLowerHex);
}

std::string
DigestOf(std::string_view aBytes)
{
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(aBytes.data(), aBytes.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace heatherfork
