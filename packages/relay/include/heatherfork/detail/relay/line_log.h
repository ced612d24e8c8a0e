#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "heatherfork/time.h"

/// Structured logging to a file descriptor, with a bounded buffer.
namespace heatherfork::relay {

enum class LogLevel : std::uint8_t
{
  kDebug,
  kInfo,
  kWarning,
};

/// Buffers lines and writes them without blocking. If the reader is too slow,
/// drops lines, those below the warning level first, and logs how many.
class LineLog
{
public:
  LineLog(int aDescriptor, std::string aNode, LogLevel aMinLevel);

  /// Appends "time_ms=... level=... node=... event=... request=... TEXT".
  void Add(LogLevel aLevel,
           std::string_view aEvent,
           std::string_view aRequest,
           std::string_view aText);

  /// Number of lines dropped so far.
  std::uint64_t Dropped() const { return mDropped; }

  /// Writes as much as the descriptor accepts.
  void Flush();

private:
  int mDescriptor;
  std::string mNode;
  LogLevel mMinLevel;
  std::string mBuffer;
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedReported = 0;
};

} // namespace heatherfork::relay
