#include "heatherfork/detail/relay/event_stream.h"

#include <algorithm>

namespace heatherfork::relay {

namespace {

/// Removes the first line and returns it without its end.
std::string_view
TakeLine(std::string_view& aText)
{
  const std::size_t end = std::min(aText.find('\n'), aText.size());
  std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

// Reads the first "id: VALUE" line, and whether there are lines other than
// comments.
void
ReadFields(StreamEvent& aEvent)
{
  std::string_view left = aEvent.mBytes;
  while (!left.empty()) {
    std::string_view line = TakeLine(left);
    if (line.empty() || line.front() == ':') {
      continue;
    }
    aEvent.mHasFields = true;
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      aEvent.mId = line;
      return;
    }
  }
}

} // namespace

void
EventStream::Add(std::string_view aBytes)
{
  if (mBegin > 0) {
    mBuffer.erase(0, mBegin);
    mScanned -= mBegin;
    mBegin = 0;
  }
  mBuffer.append(aBytes);
}

// Returns the position after the empty line that ends the next event, or npos.
// Lines may end with LF or with CRLF.
std::size_t
EventStream::FindEnd()
{
  while (true) {
    const std::size_t lineEnd = mBuffer.find('\n', mScanned);
    if (lineEnd == std::string::npos) {
      mScanned = mBuffer.size();
      return std::string::npos;
    }
    std::size_t next = lineEnd + 1;
    if (next < mBuffer.size() && mBuffer[next] == '\r') {
      ++next;
    }
    if (next == mBuffer.size()) {
      mScanned = lineEnd;
      return std::string::npos;
    }
    if (mBuffer[next] == '\n') {
      mScanned = next + 1;
      return mScanned;
    }
    mScanned = lineEnd + 1;
  }
}

std::optional<StreamEvent>
EventStream::TakeNext()
{
  const std::size_t end = FindEnd();
  if (end == std::string::npos) {
    return std::nullopt;
  }
  StreamEvent event;
  event.mBytes = std::string_view(mBuffer).substr(mBegin, end - mBegin);
  mBegin = end;
  ReadFields(event);
  return event;
}

EventBatch
EventStream::TakeAll()
{
  const std::size_t begin = mBegin;
  std::size_t forwarded = mBegin;
  EventBatch batch;
  while (auto event = TakeNext()) {
    if (!event->mHasFields) {
      continue;
    }
    forwarded = mBegin;
    ++batch.mEvents;
    if (!event->mId.empty()) {
      batch.mLastId = std::move(event->mId);
    }
  }
  batch.mBytes = mBuffer.substr(begin, forwarded - begin);
  batch.mComments = mBuffer.substr(forwarded, mBegin - forwarded);
  return batch;
}

void
EventStream::Clear()
{
  mBuffer.clear();
  mBegin = 0;
  mScanned = 0;
}

} // namespace heatherfork::relay
