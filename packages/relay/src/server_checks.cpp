#include "heatherfork/detail/relay/server_checks.h"

#include <cerrno>

#include <unistd.h>

#include "heatherfork/detail/relay/sockets.h"

namespace heatherfork::relay {

namespace {

constexpr Duration kCheckTimeout = Milliseconds(500);

} // namespace

class ServerChecks::Check final : public IoHandler
{
public:
  Check(ServerChecks& aChecks, const CheckServer& aCheck, Instant aStartedAt)
    : mStartedAt(aStartedAt)
    , mChecks(aChecks)
    , mServer(aCheck.mServer)
    , mDescriptor(BeginConnect(aCheck.mAddress))
    , mIsRefusedAtOnce(mDescriptor < 0 && errno == ECONNREFUSED)
  {
    if (mDescriptor >= 0) {
      mChecks.mLoop.Set(mDescriptor, IoInterest{ false, true }, *this);
    }
  }
  ~Check() override { Close(); }
  Check(const Check&) = delete;
  Check& operator=(const Check&) = delete;

  bool IsConnecting() const { return mDescriptor >= 0; }
  bool IsRefusedAtOnce() const { return mIsRefusedAtOnce; }

  void Close()
  {
    if (mDescriptor >= 0) {
      mChecks.mLoop.Remove(mDescriptor);
      close(mDescriptor);
      mDescriptor = -1;
    }
  }

  void OnIo(bool, bool, bool) override
  {
    const bool isDown = IsRefused(mDescriptor);
    Close();
    mChecks.Finish(mServer, isDown);
  }
  void OnFault() override
  {
    Close();
    mChecks.Finish(mServer, false);
  }

  const Instant mStartedAt;

private:
  ServerChecks& mChecks;
  const ServerName mServer;
  int mDescriptor;
  const bool mIsRefusedAtOnce;
};

ServerChecks::ServerChecks(IoLoop& aLoop,
                           std::function<void(ServerChecked)> aPost)
  : mLoop(aLoop)
  , mPost(std::move(aPost))
{
}

ServerChecks::~ServerChecks() = default;

void
ServerChecks::Start(const CheckServer& aCheck, Instant aNow)
{
  auto check = std::make_unique<Check>(*this, aCheck, aNow);
  if (!check->IsConnecting()) {
    mPost(ServerChecked{ aCheck.mServer, check->IsRefusedAtOnce() });
    return;
  }
  mChecks[aCheck.mServer] = std::move(check);
}

void
ServerChecks::Finish(const ServerName& aServer, bool aIsDown)
{
  const auto it = mChecks.find(aServer);
  if (it != mChecks.end()) {
    mFinished.push_back(std::move(it->second));
    mChecks.erase(it);
    mPost(ServerChecked{ aServer, aIsDown });
  }
}

void
ServerChecks::OnTimer(Instant aNow)
{
  mFinished.clear();
  std::vector<ServerName> late;
  for (const auto& [server, check] : mChecks) {
    if (aNow - check->mStartedAt > kCheckTimeout) {
      late.push_back(server);
    }
  }
  for (const ServerName& server : late) {
    Finish(server, false);
  }
}

} // namespace heatherfork::relay
