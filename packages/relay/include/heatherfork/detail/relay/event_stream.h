#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Splits a byte stream into server-sent events.
namespace heatherfork::relay {

/// The bytes of one event, including the final empty line, and its id. The id
/// is empty if the event has none.
struct StreamEvent
{
  std::string mBytes;
  std::string mId;
};

class EventStream
{
public:
  void Add(std::string_view aBytes) { mBuffer.append(aBytes); }

  /// Removes and returns the next complete event, if any.
  std::optional<StreamEvent> TakeNext();

  /// Whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !mBuffer.empty(); }

  void Clear() { mBuffer.clear(); }

private:
  std::string mBuffer;
};

} // namespace heatherfork::relay
