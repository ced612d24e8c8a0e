#include "heatherfork/detail/http/caller_mailbox.h"

namespace heatherfork::detail {

bool
CallerMailbox::Push(CallerOutput aOutput)
{
  bool isAccepted = false;
  {
    const std::lock_guard lock(mMutex);
    mIsOverrun = mIsOverrun || mOutputs.size() >= kMaxOutputs;
    isAccepted = !mIsOverrun;
    if (isAccepted) {
      mOutputs.push_back(std::move(aOutput));
    }
  }
  mWake.notify_one();
  return isAccepted;
}

bool
CallerMailbox::IsOverrun() const
{
  const std::lock_guard lock(mMutex);
  return mIsOverrun;
}

std::optional<CallerOutput>
CallerMailbox::Pop(Duration aTimeout)
{
  std::unique_lock lock(mMutex);
  mWake.wait_for(lock, aTimeout, [this] { return !mOutputs.empty(); });
  if (mOutputs.empty()) {
    return std::nullopt;
  }
  CallerOutput output = std::move(mOutputs.front());
  mOutputs.pop_front();
  return output;
}

std::pair<CallerId, std::shared_ptr<CallerMailbox>>
CallerRegistry::Add()
{
  const std::lock_guard lock(mMutex);
  auto mailbox = std::make_shared<CallerMailbox>();
  mMailboxes.emplace(++mLastCaller, mailbox);
  return { mLastCaller, std::move(mailbox) };
}

void
CallerRegistry::Remove(CallerId aCaller)
{
  const std::lock_guard lock(mMutex);
  mMailboxes.erase(aCaller);
}

bool
CallerRegistry::Deliver(CallerId aCaller, CallerOutput aOutput)
{
  std::shared_ptr<CallerMailbox> mailbox;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mMailboxes.find(aCaller);
    if (it == mMailboxes.end()) {
      return true;
    }
    mailbox = it->second;
  }
  return mailbox->Push(std::move(aOutput));
}

std::size_t
CallerRegistry::Size() const
{
  const std::lock_guard lock(mMutex);
  return mMailboxes.size();
}

} // namespace heatherfork::detail
