#include "heatherfork/detail/json/read.h"

#include <limits>
#include <string>
#include <utility>

#include <Poco/JSON/Handler.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/Parser.h>

namespace heatherfork::detail::json {

namespace {

/// Builds a Value from parser events and enforces the depth limit.
class ValueBuilder : public Poco::JSON::Handler
{
public:
  explicit ValueBuilder(int aMaxDepth)
    : mMaxDepth(aMaxDepth)
  {
  }

  bool IsTooDeep() const { return mIsTooDeep; }
  Value Take() { return std::move(mRoot); }

  // NOLINTBEGIN(readability-identifier-naming): names of the base class.
  void reset() override {}
  void startObject() override { PushContainer(Value{ Object{} }); }
  void endObject() override { PopContainer(); }
  void startArray() override { PushContainer(Value{ Array{} }); }
  void endArray() override { PopContainer(); }
  void key(const std::string& aKey) override
  {
    mOpenContainers.back().mKey = aKey;
  }
  void null() override { AddValue(Value{}); }
  void value(int aNumber) override
  {
    AddValue(Value{ std::int64_t{ aNumber } });
  }
  void value(unsigned aNumber) override
  {
    AddValue(Value{ std::int64_t{ aNumber } });
  }
  void value(Poco::Int64 aNumber) override
  {
    AddValue(Value{ static_cast<std::int64_t>(aNumber) });
  }
  void value(Poco::UInt64 aNumber) override
  {
    AddValue(Value{ static_cast<double>(aNumber) });
  }
  void value(const std::string& aText) override { AddValue(Value{ aText }); }
  void value(double aNumber) override { AddValue(Value{ aNumber }); }
  void value(bool aFlag) override { AddValue(Value{ aFlag }); }
  // NOLINTEND(readability-identifier-naming)

private:
  /// An unfinished object or array, and its most recent key.
  struct OpenContainer
  {
    Value mValue;
    std::string mKey;
  };

  void PushContainer(Value aValue)
  {
    if (static_cast<int>(mOpenContainers.size()) >= mMaxDepth) {
      mIsTooDeep = true;
      throw Poco::JSON::JSONException("too deep");
    }
    mOpenContainers.push_back(OpenContainer{ std::move(aValue), "" });
  }

  void PopContainer()
  {
    Value value = std::move(mOpenContainers.back().mValue);
    mOpenContainers.pop_back();
    AddValue(std::move(value));
  }

  void AddValue(Value aValue)
  {
    if (mOpenContainers.empty()) {
      mRoot = std::move(aValue);
      return;
    }
    OpenContainer& container = mOpenContainers.back();
    if (auto* array = std::get_if<Array>(&container.mValue.mData)) {
      array->push_back(std::move(aValue));
      return;
    }
    auto& object = std::get<Object>(container.mValue.mData);
    object.push_back(Member{ std::move(container.mKey), std::move(aValue) });
  }

  int mMaxDepth;
  bool mIsTooDeep = false;
  Value mRoot;
  std::vector<OpenContainer> mOpenContainers;
};

} // namespace

std::variant<Value, ReadError>
Read(std::string_view aBytes, const ReadLimits& aLimits)
{
  if (aBytes.size() > aLimits.mMaxBytes) {
    return ReadError::kTooLarge;
  }
  Poco::SharedPtr<ValueBuilder> builder(new ValueBuilder(aLimits.mMaxDepth));
  // The parser throws on malformed input and on numbers out of range.
  try {
    Poco::JSON::Parser parser(builder);
    parser.setAllowNullByte(false);
    parser.parse(std::string(aBytes));
  } catch (const std::exception&) {
    return builder->IsTooDeep() ? ReadError::kTooDeep : ReadError::kMalformed;
  }
  return builder->Take();
}

} // namespace heatherfork::detail::json
