#include "heatherfork/detail/relay/server_connection.h"

#include <algorithm>

#include <unistd.h>

#include "heatherfork/detail/relay/sockets.h"

namespace heatherfork::relay {

namespace {

constexpr std::size_t kMaxHead = 65536;
constexpr std::size_t kMaxBody = std::size_t{ 64 } << 20;

// Of a connection whose other side states no limit.
constexpr Duration kDefaultIdleLimit = Milliseconds(2000);

// Before the other side's limit, so that a request does not cross its close.
constexpr Duration kIdleMargin = Milliseconds(1000);

constexpr std::size_t kMostIdle = 256; // Connections kept in all.

// "timeout=5" in whole seconds.
Duration
IdleLimitOf(const HttpHead& aHead)
{
  const std::string* value = aHead.Find("Keep-Alive");
  if (value == nullptr) {
    return kDefaultIdleLimit;
  }
  const std::size_t at = value->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultIdleLimit;
  }
  const long seconds = std::strtol(value->c_str() + at + 8, nullptr, 10);
  return Milliseconds(1000) * std::clamp(seconds, 0L, 3600L) - kIdleMargin;
}

} // namespace

ServerConnection::ServerConnection(IoLoop& aLoop, Address aAddress)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mReader(HttpReader::Kind::kResponse, kMaxHead, kMaxBody)
  , mIdleLimit(kDefaultIdleLimit)
{
}

ServerConnection::~ServerConnection()
{
  *mIsAlive = false;
  CloseSocket();
}

void
ServerConnection::CloseSocket()
{
  if (mDescriptor >= 0) {
    mLoop.Remove(mDescriptor);
    close(mDescriptor);
    mDescriptor = -1;
  }
}

void
ServerConnection::Begin(std::string aRequest,
                        bool aNoBody,
                        ExchangeListener& aListener)
{
  mListener = &aListener;
  mOnIdleEnd = nullptr;
  mOut = std::move(aRequest);
  mWritten = 0;
  mHasSent = false;
  mNoBody = aNoBody;
  mHeadTaken = false;
  mIsSkipping = false;
  mReader.Reset(aNoBody);
  if (mDescriptor < 0) {
    mDescriptor = BeginConnect(mAddress);
    if (mDescriptor < 0) {
      // Reported from the loop, as every other failure.
      mLoop.Post([this, alive = mIsAlive] {
        if (*alive) {
          Fail("can't connect to " + mAddress.mValue);
        }
      });
      return;
    }
    UpdateInterest();
    return;
  }
  Write();
}

void
ServerConnection::Abandon()
{
  mListener = nullptr;
  mIsSound = false;
  CloseSocket();
}

bool
ServerConnection::MayBeReused() const
{
  return mDescriptor >= 0 && mIsSound && !mHasEnded && mIn.empty() &&
         mWritten == mOut.size() && mReader.IsDone() &&
         mReader.Head().mKeepAlive && mReader.Head().mIsFramed &&
         mIdleLimit > Duration{};
}

// The bytes that are due have been read: whatever comes next is not.
void
ServerConnection::WatchIdle(std::function<void(ServerConnection&)> aOnEnd)
{
  mListener = nullptr;
  mOnIdleEnd = std::move(aOnEnd);
  UpdateInterest();
}

void
ServerConnection::UpdateInterest()
{
  if (mDescriptor >= 0) {
    const bool wantsWrite = !mIsEstablished || mWritten < mOut.size();
    mLoop.Set(mDescriptor, IoInterest{ mIsEstablished, wantsWrite }, *this);
  }
}

void
ServerConnection::Fail(const std::string& aReason)
{
  CloseSocket();
  mIsSound = false;
  ExchangeListener* listener = mListener;
  mListener = nullptr;
  if (listener != nullptr) {
    listener->OnFailed(aReason, mHasSent);
  }
}

void
ServerConnection::OnIo(bool aReadable, bool aWritable, bool aFailed)
{
  const std::shared_ptr<bool> alive = mIsAlive;
  if (mListener == nullptr && !mOnIdleEnd) {
    // Nothing is due: the other side has ended, or sends what nobody asked for.
    mIsSound = false;
    CloseSocket();
    return;
  }
  if (mOnIdleEnd) {
    // Nothing is due on an idle connection, so any byte makes it useless.
    const auto onEnd = mOnIdleEnd;
    onEnd(*this);
    return;
  }
  if (!mIsEstablished) {
    if (aFailed || !IsConnected(mDescriptor)) {
      Fail("can't connect to " + mAddress.mValue);
      return;
    }
    if (!aWritable) {
      return;
    }
    mIsEstablished = true;
  }
  if (aReadable || aFailed) {
    ReadAll();
  }
  if (*alive && mDescriptor >= 0 && mWritten < mOut.size()) {
    Write();
  } else if (*alive && mDescriptor >= 0) {
    UpdateInterest();
  }
}

void
ServerConnection::Write()
{
  mHasSent = true;
  if (WriteSome(mDescriptor, mOut, mWritten) == IoResult::kFailed) {
    // An answer may have come before the other side stopped reading.
    ReadAll();
    return;
  }
  UpdateInterest();
}

void
ServerConnection::ReadAll()
{
  const std::shared_ptr<bool> alive = mIsAlive;
  while (*alive && mDescriptor >= 0 && mListener != nullptr) {
    const IoResult result = ReadSome(mDescriptor, mIn);
    if (result == IoResult::kWouldBlock) {
      if (!mHasEnded && mWritten < mOut.size() && mHasSent &&
          !IsConnected(mDescriptor)) {
        Fail("the connection broke");
      }
      return;
    }
    if (result == IoResult::kFailed) {
      Fail("the connection was reset");
      return;
    }
    mHasEnded = result == IoResult::kEnd;
    Advance();
    if (!*alive || mHasEnded) {
      return;
    }
  }
}

void
ServerConnection::TakeHead()
{
  const HttpHead& head = mReader.Head();
  mHeadTaken = true;
  // An interim response, or one to another request.
  mIsSkipping = head.mStatus < 200 || !mListener->OnHead(head);
  if (mIsSkipping && head.mStatus >= 200) {
    mIsSound = false;
  }
  if (const std::string* connection = head.Find("Connection");
      connection != nullptr && IsSameField(*connection, "close")) {
    mIsSound = false;
  }
  mIdleLimit = IdleLimitOf(head);
}

void
ServerConnection::Advance()
{
  const std::shared_ptr<bool> alive = mIsAlive;
  while (*alive && mListener != nullptr) {
    std::string body;
    mReader.Read(mIn, body);
    if (mHasEnded) {
      mReader.ReadEnd();
    }
    if (mReader.HasHead() && !mHeadTaken) {
      TakeHead();
      if (!*alive || mListener == nullptr) {
        return;
      }
    }
    if (!body.empty() && !mIsSkipping) {
      mListener->OnBody(body);
      if (!*alive || mListener == nullptr) {
        return;
      }
    }
    if (mReader.Fault() != HttpFault::kNone) {
      Fail("what came is no HTTP response");
      return;
    }
    if (!mReader.IsDone()) {
      if (mHasEnded) {
        Fail("the connection ended before the response was whole");
      }
      return;
    }
    if (!mIsSkipping) {
      ExchangeListener* listener = mListener;
      mListener = nullptr;
      listener->OnDone();
      return;
    }
    mReader.Reset(mNoBody);
    mHeadTaken = false;
    if (mIn.empty()) {
      if (mHasEnded) {
        Fail("the connection ended without a response");
      }
      return;
    }
  }
}

ServerConnectionPtr
ConnectionPool::Take(const Address& aAddress, bool aFresh)
{
  if (!aFresh) {
    // The one that was used last is the least likely to have been closed.
    const auto it =
      std::find_if(mIdle.rbegin(), mIdle.rend(), [&](const Kept& aKept) {
        return aKept.mConnection->At() == aAddress;
      });
    if (it != mIdle.rend()) {
      ServerConnectionPtr connection = std::move(it->mConnection);
      mIdle.erase(std::next(it).base());
      return connection;
    }
  }
  return std::make_unique<ServerConnection>(mLoop, aAddress);
}

void
ConnectionPool::Give(ServerConnectionPtr aConnection)
{
  if (!aConnection->MayBeReused()) {
    mEnded.push_back(std::move(aConnection));
    return;
  }
  aConnection->WatchIdle([this](ServerConnection& aEnded) {
    const auto it =
      std::find_if(mIdle.begin(), mIdle.end(), [&](const Kept& aKept) {
        return aKept.mConnection.get() == &aEnded;
      });
    if (it != mIdle.end()) {
      it->mConnection->Abandon();
      mEnded.push_back(std::move(it->mConnection));
      mIdle.erase(it);
    }
  });
  const Instant until = SteadyNow() + aConnection->IdleLimit();
  mIdle.push_back({ std::move(aConnection), until });
  if (mIdle.size() > kMostIdle) {
    mIdle.pop_front();
  }
}

void
ConnectionPool::Expire(Instant aNow)
{
  mEnded.clear();
  std::erase_if(mIdle,
                [aNow](const Kept& aKept) { return aKept.mUntil <= aNow; });
}

} // namespace heatherfork::relay
