#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "heatherfork/time.h"

/// Structured lines on a descriptor, bounded and never blocking.
namespace heatherfork::relay {

enum class LogLevel : std::uint8_t
{
  kDebug,
  kInfo,
  kWarning,
};

/// Gathers lines and writes what the descriptor takes. When nobody reads, lines
/// are dropped, those of lower levels first, and the loss is logged.
class LineLog
{
public:
  LineLog(int aDescriptor, std::string aNode, LogLevel aLowest);

  /// "time=... level=... node=... event=... request=... TEXT".
  void Add(LogLevel aLevel,
           std::string_view aEvent,
           std::string_view aRequest,
           std::string_view aText);

  /// Lines dropped so far.
  std::uint64_t Dropped() const { return mDropped; }

  /// Writes what can be written now.
  void Flush();

private:
  int mDescriptor;
  std::string mNode;
  LogLevel mLowest;
  std::string mBuffer;
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedTold = 0;
};

} // namespace heatherfork::relay
