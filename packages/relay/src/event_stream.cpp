#include "heatherfork/detail/relay/event_stream.h"

#include <algorithm>

namespace heatherfork::relay {

namespace {

// Returns the value of the first "id: VALUE" line; empty if there is none.
std::string
IdOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::size_t end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      return std::string(line);
    }
  }
  return {};
}

} // namespace

std::optional<StreamEvent>
EventStream::TakeNext()
{
  const std::size_t lfEnd = mBuffer.find("\n\n");
  const std::size_t crlfEnd = mBuffer.find("\r\n\r\n");
  if (lfEnd == std::string::npos && crlfEnd == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t end = lfEnd < crlfEnd ? lfEnd + 2 : crlfEnd + 4;
  StreamEvent event{ mBuffer.substr(0, end), "" };
  event.mId = IdOf(event.mBytes);
  mBuffer.erase(0, end);
  return event;
}

} // namespace heatherfork::relay
