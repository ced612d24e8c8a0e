#include "heatherfork/detail/relay/line_log.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace heatherfork::relay {

namespace {

// Capacity of the buffer. The last quarter is reserved for warnings.
constexpr std::size_t kMaxBufferedBytes = 262144;
constexpr std::size_t kMaxNonWarningBytes = kMaxBufferedBytes / 4 * 3;

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

bool
IsPrintable(char aChar)
{
  return aChar >= ' ' && aChar < 0x7f;
}

// A line stays one line of ASCII, whatever names from outside it contains.
void
AppendPrintable(std::string& aLine, std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  while (!aText.empty()) {
    const auto end = std::find_if_not(aText.begin(), aText.end(), IsPrintable);
    aLine.append(aText.begin(), end);
    aText.remove_prefix(static_cast<std::size_t>(end - aText.begin()));
    if (!aText.empty()) {
      const auto byte = static_cast<unsigned char>(aText.front());
      aLine.append("\\x");
      aLine.push_back(kDigits[byte >> 4]);
      aLine.push_back(kDigits[byte & 0x0f]);
      aText.remove_prefix(1);
    }
  }
}

// Wall-clock time for readers of the log. Decisions use the steady clock.
std::int64_t
WallClockMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

LineLog::LineLog(int aDescriptor, std::string aNode, LogLevel aMinLevel)
  : mDescriptor(aDescriptor)
  , mNode(std::move(aNode))
  , mMinLevel(aMinLevel)
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
  if (aLevel < mMinLevel) {
    return;
  }
  const std::size_t limit =
    aLevel == LogLevel::kWarning ? kMaxBufferedBytes : kMaxNonWarningBytes;
  if (mBuffer.size() + aText.size() > limit) {
    ++mDropped;
    return;
  }
  mBuffer += "time_ms=" + std::to_string(WallClockMilliseconds()) +
             " level=" + NameOf(aLevel) + " node=" + mNode + " event=";
  mBuffer += aEvent;
  if (!aRequest.empty()) {
    mBuffer += " request=";
    AppendPrintable(mBuffer, aRequest);
  }
  if (!aText.empty()) {
    mBuffer += ' ';
    AppendPrintable(mBuffer, aText);
  }
  mBuffer += '\n';
}

void
LineLog::Flush()
{
  if (mDropped > mDroppedReported && mBuffer.size() < kMaxNonWarningBytes) {
    const std::string text =
      "lines=" + std::to_string(mDropped - mDroppedReported);
    mDroppedReported = mDropped;
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
