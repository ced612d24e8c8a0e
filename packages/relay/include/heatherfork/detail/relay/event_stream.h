#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Splits a byte stream into server-sent events.
namespace heatherfork::relay {

/// The bytes of one event, including the final empty line.
struct StreamEvent
{
  std::string_view mBytes; ///< Valid until more is added.
  std::string mId;         ///< Empty if the event has none.
  bool mHasFields = false; ///< Not only comments and empty lines.
};

/// Complete events that are forwarded together.
struct EventBatch
{
  std::string mBytes;    ///< Up to the end of the last event with fields.
  std::string mComments; ///< After it.
  std::string mLastId;   ///< Empty if no event has one.
  int mEvents = 0;       ///< With fields.
};

class EventStream
{
public:
  /// Largest event; a replica that sends more without an end of the event is
  /// in trouble.
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 256 } << 10;

  void Add(std::string_view aBytes);

  /// Removes and returns the next complete event, if any. Looks at each byte
  /// once.
  std::optional<StreamEvent> TakeNext();

  /// Removes and returns all complete events.
  EventBatch TakeAll();

  /// Whether an incomplete event is buffered.
  bool HasPartialEvent() const { return mBegin < mBuffer.size(); }

  /// Whether the incomplete event is larger than kMaxEventBytes.
  bool IsEventTooLarge() const
  {
    return mBuffer.size() - mBegin > kMaxEventBytes;
  }

  void Clear();

private:
  std::size_t FindEnd();

  std::string mBuffer;
  std::size_t mBegin = 0;   ///< Of the next event.
  std::size_t mScanned = 0; ///< No event ends before it.
};

} // namespace heatherfork::relay
