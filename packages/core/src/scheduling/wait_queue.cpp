#include "heatherfork/detail/scheduling/wait_queue.h"

#include <algorithm>
#include <queue>

namespace heatherfork::detail {

namespace {

constexpr double kMinWeight = 1e-6;

double
ShareCost(const QueuedRequest& aRequest)
{
  return aRequest.mCost / std::max(aRequest.mPublished.mWeight, kMinWeight);
}

std::tuple<int, Instant, AttemptId>
IsolatedKeyOf(const QueuedRequest& aRequest)
{
  return { aRequest.mPublished.mRank,
           LatestStart(aRequest.mRemaining),
           aRequest.mPlace.mAttempt };
}

} // namespace

WaitQueue::StageKey
WaitQueue::StageKeyOf(const QueuedRequest& aRequest)
{
  const Instant start =
    aRequest.mStage == Stage::kWanted
      ? aRequest.mPublished.mWantedAt - aRequest.mRemaining.mWork
      : LatestStart(aRequest.mRemaining);
  return { aRequest.mStage, start, aRequest.mPlace.mAttempt };
}

WaitQueue::TimeKey
WaitQueue::TimeKeyOf(const QueuedRequest& aRequest)
{
  return { LatestStart(aRequest.mRemaining), aRequest.mPlace.mAttempt };
}

void
WaitQueue::Push(QueuedRequest aRequest)
{
  Line& line =
    mLinesByRank[aRequest.mPublished.mRank][aRequest.mPublished.mWorkspace];
  line.mByStage.insert(StageKeyOf(aRequest));
  line.mByTime.insert(TimeKeyOf(aRequest));
  if (aRequest.mPlace.mIsolate) {
    mIsolated.insert(IsolatedKeyOf(aRequest));
  }
  const AttemptId attempt = aRequest.mPlace.mAttempt;
  mEntries.emplace(attempt, std::move(aRequest));
}

void
WaitQueue::SetStage(const AttemptId& aAttempt, Stage aStage)
{
  QueuedRequest& request = mEntries.at(aAttempt);
  if (request.mStage == aStage) {
    return;
  }
  Line& line =
    mLinesByRank.at(request.mPublished.mRank).at(request.mPublished.mWorkspace);
  line.mByStage.erase(StageKeyOf(request));
  request.mStage = aStage;
  line.mByStage.insert(StageKeyOf(request));
}

// Start-time fair queueing, charged when a request gets its place: a workspace
// that exceeds its share gets start times ahead of the virtual time.
double
WaitQueue::VirtualStart(const WorkspaceName& aWorkspace) const
{
  const auto it = mVirtualFinishes.find(aWorkspace);
  return it == mVirtualFinishes.end() ? mVirtualTime
                                      : std::max(mVirtualTime, it->second);
}

QueuedRequest
WaitQueue::Take(const AttemptId& aAttempt)
{
  const auto entry = mEntries.extract(aAttempt);
  QueuedRequest request = std::move(entry.mapped());
  mVirtualTime = VirtualStart(request.mPublished.mWorkspace);
  mVirtualFinishes[request.mPublished.mWorkspace] =
    mVirtualTime + ShareCost(request);
  Erase(request);
  // With an empty queue no workspace is ahead of its share: the finish times
  // are removed and the virtual time restarts.
  if (mEntries.empty()) {
    mVirtualFinishes.clear();
    mVirtualTime = 0;
  }
  return request;
}

bool
WaitQueue::Remove(const AttemptId& aAttempt)
{
  const auto it = mEntries.find(aAttempt);
  if (it == mEntries.end()) {
    return false;
  }
  Erase(it->second);
  mEntries.erase(it);
  return true;
}

void
WaitQueue::Erase(const QueuedRequest& aRequest)
{
  const auto rank = mLinesByRank.find(aRequest.mPublished.mRank);
  const auto line = rank->second.find(aRequest.mPublished.mWorkspace);
  line->second.mByStage.erase(StageKeyOf(aRequest));
  line->second.mByTime.erase(TimeKeyOf(aRequest));
  mIsolated.erase(IsolatedKeyOf(aRequest));
  if (line->second.mByTime.empty()) {
    rank->second.erase(line);
  }
  if (rank->second.empty()) {
    mLinesByRank.erase(rank);
  }
}

bool
WaitQueue::Contains(const AttemptId& aAttempt) const
{
  return mEntries.contains(aAttempt);
}

const QueuedRequest&
WaitQueue::At(const AttemptId& aAttempt) const
{
  return mEntries.at(aAttempt);
}

template<class Key>
std::vector<AttemptId>
WaitQueue::InOrder(std::set<Key> Line::*aOrder,
                   std::size_t aCount,
                   const Filter& aIsEligible) const
{
  using Iterator = typename std::set<Key>::const_iterator;
  struct Cursor
  {
    double mStart = 0;
    Iterator mNext;
    Iterator mEnd;
    bool operator>(const Cursor& aOther) const
    {
      return std::tie(mStart, *mNext) > std::tie(aOther.mStart, *aOther.mNext);
    }
  };
  std::vector<AttemptId> attempts;
  attempts.reserve(std::min(aCount, mEntries.size()));
  for (const auto& [rank, lines] : mLinesByRank) {
    std::priority_queue<Cursor, std::vector<Cursor>, std::greater<>> cursors;
    for (const auto& [workspace, line] : lines) {
      const std::set<Key>& order = line.*aOrder;
      cursors.push({ VirtualStart(workspace), order.begin(), order.end() });
    }
    while (!cursors.empty() && attempts.size() < aCount) {
      Cursor cursor = cursors.top();
      cursors.pop();
      const QueuedRequest& request = At(std::get<AttemptId>(*cursor.mNext));
      if (aIsEligible(request)) {
        attempts.push_back(request.mPlace.mAttempt);
        cursor.mStart += ShareCost(request);
      }
      if (++cursor.mNext != cursor.mEnd) {
        cursors.push(cursor);
      }
    }
  }
  return attempts;
}

std::vector<AttemptId>
WaitQueue::First(std::size_t aCount, const Filter& aIsEligible) const
{
  return InOrder(&Line::mByStage, aCount, aIsEligible);
}

std::vector<AttemptId>
WaitQueue::ByTime() const
{
  return InOrder(
    &Line::mByTime, mEntries.size(), [](const auto&) { return true; });
}

const AttemptId*
WaitQueue::FirstIsolated() const
{
  return mIsolated.empty() ? nullptr : &std::get<AttemptId>(*mIsolated.begin());
}

} // namespace heatherfork::detail
