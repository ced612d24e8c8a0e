#include "backend_servers.h"

namespace heatherfork::explorer {

namespace {

constexpr Duration kReplyTime = Milliseconds(1);
constexpr Duration kServiceTime = Milliseconds(20);
constexpr Duration kPrefillTime = Milliseconds(30);
constexpr Duration kTransferTime = Milliseconds(5);
constexpr Duration kTokenTime = Milliseconds(10);
constexpr Duration kRepeatDelay = Milliseconds(15);

stand_in::AttemptKey
KeyOf(const AttemptId& aAttempt)
{
  return { aAttempt.mIncarnation, aAttempt.mSequence };
}

ServerReply
Refused()
{
  return ServerReply{ CallStatus::kRefused };
}

} // namespace

BackendServers::BackendServers(VirtualClock& aClock)
  : mClock(aClock)
{
}

void
BackendServers::Receive(const CallServer& aCall, const EventSink& aSink)
{
  std::visit([&](const auto& aBody) { Receive(aCall, aBody, aSink); },
             aCall.mCall);
}

void
BackendServers::RestartEngine(int aNumber)
{
  auto it = mEngines.begin();
  if (!mEngines.empty()) {
    std::advance(it, aNumber % mEngines.size());
    it->second = stand_in::AttemptTable(it->second.Limits());
  }
}

int
BackendServers::RunsOf(const std::string& aBody) const
{
  const auto it = mRuns.find(aBody);
  return it == mRuns.end() ? 0 : it->second;
}

std::vector<std::string>
BackendServers::HeldMemory()
{
  std::vector<std::string> held;
  for (auto& [name, table] : mEngines) {
    const stand_in::Usage usage = table.CurrentUsage(EngineNow());
    if (usage.mPieces != 0) {
      held.push_back(name.mValue + " holds " + std::to_string(usage.mPieces) +
                     " pieces");
    }
  }
  return held;
}

void
BackendServers::Receive(const CallServer& aCall,
                        const PlainCall& aBody,
                        const EventSink& aSink)
{
  ++mRuns[aBody.mBody];
  mClock.After(kServiceTime, [=, this] {
    Reply(aCall, aSink, ServerReply{ CallStatus::kOk, "done " + aBody.mBody });
  });
}

void
BackendServers::Receive(const CallServer& aCall,
                        const ReserveCall& aBody,
                        const EventSink& aSink)
{
  const auto status =
    TableOf(aCall.mServer)
      .Reserve(KeyOf(aCall.mAttempt), aBody.mPieces, EngineNow());
  Reply(aCall, aSink, status.ok() ? ServerReply{ CallStatus::kOk } : Refused());
}

void
BackendServers::Receive(const CallServer& aCall,
                        const PrefillCall& aBody,
                        const EventSink& aSink)
{
  const auto key = KeyOf(aCall.mAttempt);
  const auto begun =
    TableOf(aCall.mServer)
      .BeginPrefill(key, aBody.mPromptTokens, aBody.mPrompt, EngineNow());
  if (!begun.ok()) {
    Reply(aCall, aSink, Refused());
    return;
  }
  mClock.After(kPrefillTime, [=, this] {
    const auto ended = TableOf(aCall.mServer).EndPrefill(key, EngineNow());
    ServerReply reply{ ended.ok() ? CallStatus::kOk : CallStatus::kBroken };
    reply.mTokens = aBody.mPromptTokens;
    Reply(aCall, aSink, reply);
  });
}

void
BackendServers::Receive(const CallServer& aCall,
                        const TransferCall& aBody,
                        const EventSink& aSink)
{
  mClock.After(kTransferTime, [=, this] {
    const auto key = KeyOf(aCall.mAttempt);
    auto& from = TableOf(aCall.mServer);
    const auto result = from.Result(key, EngineNow());
    if (!result.ok()) {
      Reply(aCall, aSink, Refused());
      return;
    }
    auto& to = TableOf(ServerName{ aBody.mTo.mValue });
    const auto imported =
      to.Import(key, result->mTokens, result->mPrompt, EngineNow());
    if (imported.ok()) {
      from.Release(key);
    }
    Reply(aCall,
          aSink,
          ServerReply{ imported.ok() ? CallStatus::kOk : CallStatus::kBroken });
  });
}

void
BackendServers::Receive(const CallServer& aCall,
                        const DecodeCall& aBody,
                        const EventSink& aSink)
{
  const auto opened =
    TableOf(aCall.mServer)
      .OpenStream(KeyOf(aCall.mAttempt), aBody.mOffset, EngineNow());
  if (!opened.ok()) {
    Reply(aCall, aSink, Refused());
    return;
  }
  const int stream = opened->mStreamNumber;
  mClock.After(kTokenTime,
               [=, this] { StreamToken(aCall, stream, aBody.mOffset, aSink); });
}

// The text contains prompt, attempt and offset, so that a stream with tokens of
// different attempts is detected.
void
BackendServers::StreamToken(const CallServer& aCall,
                            int aStream,
                            int aOffset,
                            const EventSink& aSink)
{
  const auto& decode = std::get<DecodeCall>(aCall.mCall);
  auto& table = TableOf(aCall.mServer);
  const auto key = KeyOf(aCall.mAttempt);
  if (!table.RecordToken(key, aStream, aOffset + 1)) {
    Reply(aCall, aSink, ServerReply{ CallStatus::kBroken });
    return;
  }
  // OpenStream is the only access to the prompt. It opens a new stream, whose
  // number the next token needs.
  const auto attempt = table.OpenStream(key, aOffset, EngineNow());
  const std::string prompt = attempt.ok() ? attempt->mPrompt : "";
  aSink(TokensReceived{ aCall.mAttempt,
                        aOffset,
                        1,
                        prompt + "@" + std::to_string(key.first) + "-" +
                          std::to_string(key.second) + ":" +
                          std::to_string(aOffset) + ";" });
  const int stream = attempt.ok() ? attempt->mStreamNumber : aStream;
  if (aOffset + 1 < decode.mMaxTokens) {
    mClock.After(kTokenTime,
                 [=, this] { StreamToken(aCall, stream, aOffset + 1, aSink); });
    return;
  }
  if (!mFaults.mBreaksCalls) {
    table.Release(key);
  }
  ServerReply reply{ CallStatus::kOk };
  reply.mTokens = decode.mMaxTokens;
  Reply(aCall, aSink, reply);
}

void
BackendServers::Receive(const CallServer& aCall,
                        const CancelCall&,
                        const EventSink& aSink)
{
  TableOf(aCall.mServer).Cancel(KeyOf(aCall.mAttempt), EngineNow());
  Reply(aCall, aSink, ServerReply{ CallStatus::kOk });
}

void
BackendServers::Receive(const CallServer& aCall,
                        const CancelRangeCall& aBody,
                        const EventSink& aSink)
{
  TableOf(aCall.mServer)
    .CancelRange(aBody.mIncarnation, aBody.mLast, EngineNow());
  Reply(aCall, aSink, ServerReply{ CallStatus::kOk });
}

void
BackendServers::Reply(const CallServer& aCall,
                      const EventSink& aSink,
                      ServerReply aReply)
{
  if (mFaults.mBreaksCalls) {
    aReply = ServerReply{ CallStatus::kBroken };
  }
  const ServerReplied replied{
    aCall.mAttempt, aCall.mServer, aCall.mCall, aReply
  };
  const Duration delay = kReplyTime + mFaults.mReplyDelay;
  mClock.After(delay, [=] { aSink(replied); });
  if (mFaults.mRepeatsReplies) {
    mClock.After(delay + kRepeatDelay, [=] { aSink(replied); });
  }
}

stand_in::AttemptTable&
BackendServers::TableOf(const ServerName& aServer)
{
  return mEngines.try_emplace(aServer, stand_in::Capacity{}).first->second;
}

stand_in::Instant
BackendServers::EngineNow() const
{
  return stand_in::Instant(mClock.Now().time_since_epoch());
}

} // namespace heatherfork::explorer
