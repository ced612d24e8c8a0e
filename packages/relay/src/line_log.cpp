#include "heatherfork/detail/relay/line_log.h"

#include <cerrno>
#include <chrono>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace heatherfork::relay {

namespace {

// What waits for a reader. The last quarter is for warnings alone.
constexpr std::size_t kMostBytes = 262144;
constexpr std::size_t kMostPlainBytes = kMostBytes / 4 * 3;

const char*
NameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
  }
  return "";
}

// Milliseconds of the time of day, for people; decisions use another clock.
std::int64_t
WallMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

LineLog::LineLog(int aDescriptor, std::string aNode, LogLevel aLowest)
  : mDescriptor(aDescriptor)
  , mNode(std::move(aNode))
  , mLowest(aLowest)
{
  const int flags = fcntl(mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
LineLog::Add(LogLevel aLevel,
             std::string_view aEvent,
             std::string_view aRequest,
             std::string_view aText)
{
  if (aLevel < mLowest) {
    return;
  }
  const std::size_t most =
    aLevel == LogLevel::kWarning ? kMostBytes : kMostPlainBytes;
  if (mBuffer.size() + aText.size() > most) {
    ++mDropped;
    return;
  }
  mBuffer += "time_ms=" + std::to_string(WallMilliseconds()) +
             " level=" + NameOf(aLevel) + " node=" + mNode + " event=";
  mBuffer += aEvent;
  if (!aRequest.empty()) {
    mBuffer += " request=";
    mBuffer += aRequest;
  }
  if (!aText.empty()) {
    mBuffer += ' ';
    mBuffer += aText;
  }
  mBuffer += '\n';
}

void
LineLog::Flush()
{
  if (mDropped > mDroppedTold && mBuffer.size() < kMostPlainBytes) {
    const std::string text = "lines=" + std::to_string(mDropped - mDroppedTold);
    mDroppedTold = mDropped;
    Add(LogLevel::kWarning, "log-dropped", "", text);
  }
  while (!mBuffer.empty()) {
    const ssize_t count = write(mDescriptor, mBuffer.data(), mBuffer.size());
    if (count <= 0) {
      return;
    }
    mBuffer.erase(0, static_cast<std::size_t>(count));
  }
}

} // namespace heatherfork::relay
