#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Cuts a stream of server-sent events into whole events.
namespace heatherfork::relay {

/// One event with its empty line, and its id if it has one.
struct StreamEvent
{
  std::string mBytes;
  std::string mId;
};

class EventStream
{
public:
  void Add(std::string_view aBytes) { mBuffer.append(aBytes); }

  /// The next whole event; nothing while its end has not come.
  std::optional<StreamEvent> Take();

  /// Bytes of an event whose end has not come.
  bool HasRest() const { return !mBuffer.empty(); }

  void Clear() { mBuffer.clear(); }

private:
  std::string mBuffer;
};

} // namespace heatherfork::relay
