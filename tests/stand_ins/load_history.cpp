#include "load_history.h"

namespace heatherfork::stand_in {

LoadHistory::LoadHistory(milliseconds aLag)
  : mLag(aLag)
{
}

void
LoadHistory::Record(Instant aNow, const Load& aLoad)
{
  if (mEntries.empty() || mEntries.back().mLoad != aLoad) {
    mEntries.push_back({ aNow, aLoad });
  }
  // Drops the entries that precede the newest one older than the lag.
  while (mEntries.size() > 1 && mEntries[1].mAt <= aNow - mLag) {
    mEntries.pop_front();
  }
}

Load
LoadHistory::Report(Instant aNow)
{
  while (mEntries.size() > 1 && mEntries[1].mAt <= aNow - mLag) {
    mEntries.pop_front();
  }
  return mEntries.empty() ? Load{} : mEntries.front().mLoad;
}

} // namespace heatherfork::stand_in
