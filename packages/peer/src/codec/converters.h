#pragma once

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

#include "heatherfork/error.h"
#include "heatherfork/member.h"
#include "heatherfork/peer_message.h"

/// Converters between core types and FlatBuffers types. MapFields in fields.h
/// lists the fields of each type once, for both directions.
namespace heatherfork::wire_map {

/// True for T and const T.
template<class Value, class T>
concept MaybeConst = std::same_as<std::remove_const_t<Value>, T>;

/// The largest enumerator that is valid in a frame.
template<class Enum>
constexpr Enum kMaxEnumerator = Enum{};
template<>
inline constexpr RequestKind kMaxEnumerator<RequestKind> =
  RequestKind::kPlainCall;
template<>
inline constexpr MemberStatus kMaxEnumerator<MemberStatus> =
  MemberStatus::kDead;
template<>
inline constexpr PlacementStep kMaxEnumerator<PlacementStep> =
  PlacementStep::kFirstToken;
template<>
inline constexpr PlacementResult kMaxEnumerator<PlacementResult> =
  PlacementResult::kServerFailed;

/// Converts core values to wire values.
class ToWire
{
public:
  template<class T>
  requires std::is_arithmetic_v<T>
  void operator()(const T& aCore, T& aWire) { aWire = aCore; }

  template<class Enum, class T>
  requires std::is_enum_v<Enum>
  void operator()(const Enum& aCore, T& aWire)
  {
    aWire = static_cast<T>(aCore);
  }

  void operator()(const std::string& aCore, std::string& aWire)
  {
    aWire = aCore;
  }

  template<class Tag>
  void operator()(const Name<Tag>& aCore, std::string& aWire)
  {
    aWire = aCore.mValue;
  }

  void operator()(const Duration& aCore, std::int64_t& aWire)
  {
    aWire = aCore.count();
  }

  void operator()(const Instant& aCore, std::int64_t& aWire)
  {
    aWire = aCore.time_since_epoch().count();
  }

  template<class Core, class Wire>
  void operator()(const Core& aCore, std::unique_ptr<Wire>& aWire)
  {
    if (aCore != Core{}) {
      MakeTable(aCore, aWire);
    }
  }

  template<class Core, class Wire>
  void operator()(const std::vector<Core>& aCore, std::vector<Wire>& aWire)
  {
    aWire.resize(aCore.size());
    for (std::size_t i = 0; i < aCore.size(); ++i) {
      ConvertItem(aCore[i], aWire[i]);
    }
  }

private:
  template<class Core, class Wire>
  void MakeTable(const Core& aCore, std::unique_ptr<Wire>& aWire)
  {
    aWire = std::make_unique<Wire>();
    MapFields(*this, aCore, *aWire);
  }

  // A field with its default value is omitted; an item of a vector is not.
  template<class Core, class Wire>
  void ConvertItem(const Core& aCore, std::unique_ptr<Wire>& aWire)
  {
    MakeTable(aCore, aWire);
  }

  template<class Core, class Wire>
  void ConvertItem(const Core& aCore, Wire& aWire)
  {
    (*this)(aCore, aWire);
  }
};

/// Converts wire values to core values and checks enumerators and error codes.
class FromWire
{
public:
  bool IsValid() const { return mIsValid; }

  template<class T>
  requires std::is_arithmetic_v<T>
  void operator()(T& aCore, const T& aWire) { aCore = aWire; }

  template<class Enum, class T>
  requires std::is_enum_v<Enum>
  void operator()(Enum& aCore, const T& aWire)
  {
    mIsValid = mIsValid && aWire <= static_cast<T>(kMaxEnumerator<Enum>);
    aCore = static_cast<Enum>(aWire);
  }

  void operator()(ErrorCode& aCore, const std::uint16_t& aWire)
  {
    aCore = static_cast<ErrorCode>(aWire);
    bool isKnown = false;
    for (const ErrorInfo& info : AllErrors()) {
      isKnown = isKnown || info.mCode == aCore;
    }
    mIsValid = mIsValid && isKnown;
  }

  void operator()(std::string& aCore, const std::string& aWire)
  {
    aCore = aWire;
  }

  template<class Tag>
  void operator()(Name<Tag>& aCore, const std::string& aWire)
  {
    aCore.mValue = aWire;
  }

  void operator()(Duration& aCore, const std::int64_t& aWire)
  {
    aCore = Duration(aWire);
  }

  void operator()(Instant& aCore, const std::int64_t& aWire)
  {
    aCore = Instant(Duration(aWire));
  }

  template<class Core, class Wire>
  void operator()(Core& aCore, const std::unique_ptr<Wire>& aWire)
  {
    if (aWire) {
      MapFields(*this, aCore, *aWire);
    }
  }

  template<class Core, class Wire>
  void operator()(std::vector<Core>& aCore, const std::vector<Wire>& aWire)
  {
    aCore.resize(aWire.size());
    for (std::size_t i = 0; i < aWire.size(); ++i) {
      (*this)(aCore[i], aWire[i]);
    }
  }

private:
  bool mIsValid = true;
};

} // namespace heatherfork::wire_map
