#include "heatherfork/detail/json/value.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::detail::json {

namespace {

struct TypeDescriber
{
  std::string operator()(std::monostate) const { return "null"; }
  std::string operator()(bool) const { return "a boolean"; }
  std::string operator()(std::int64_t) const { return "an integer"; }
  std::string operator()(double) const { return "another number"; }
  std::string operator()(const std::string& aText) const
  {
    return Concat("a string of ", aText.size(), " bytes");
  }
  std::string operator()(const Array&) const { return "an array"; }
  std::string operator()(const Object&) const { return "an object"; }
};

} // namespace

std::string
Describe(const Value& aValue)
{
  return std::visit(TypeDescriber{}, aValue.mData);
}

} // namespace heatherfork::detail::json
