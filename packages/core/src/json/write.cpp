#include "heatherfork/detail/json/write.h"

#include <charconv>
#include <sstream>

#include <Poco/JSON/Stringifier.h>

namespace heatherfork::detail::json {

namespace {

class Writer
{
public:
  std::string Take() { return mStream.str(); }

  void Put(const Value& aValue)
  {
    std::visit([this](const auto& aData) { Put(aData); }, aValue.mData);
  }

private:
  void Put(std::monostate) { mStream << "null"; }
  void Put(bool aFlag) { mStream << (aFlag ? "true" : "false"); }
  void Put(std::int64_t aNumber) { mStream << aNumber; }
  void Put(double aNumber)
  {
    constexpr std::size_t kMaxNumberLength = 32;
    char buf[kMaxNumberLength];
    const auto result = std::to_chars(buf, buf + sizeof(buf), aNumber);
    mStream.write(buf, result.ptr - buf);
  }

  void Put(const std::string& aText)
  {
    Poco::JSON::Stringifier::formatString(aText, mStream);
  }

  void Put(const Array& aArray)
  {
    const char* separator = "";
    mStream << '[';
    for (const Value& item : aArray) {
      mStream << separator;
      Put(item);
      separator = ",";
    }
    mStream << ']';
  }

  void Put(const Object& aObject)
  {
    const char* separator = "";
    mStream << '{';
    for (const Member& member : aObject) {
      mStream << separator;
      Put(member.mKey);
      mStream << ':';
      Put(member.mValue);
      separator = ",";
    }
    mStream << '}';
  }

  std::ostringstream mStream;
};

} // namespace

std::string
Write(const Value& aValue)
{
  Writer writer;
  writer.Put(aValue);
  return writer.Take();
}

} // namespace heatherfork::detail::json
