#include "fake_engine.h"

#include <Poco/Checksum.h>
#include <Poco/Exception.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace heatherfork::stand_in {

namespace {

constexpr microseconds kDecodeStep{ 12000 };
constexpr microseconds kDecodeStepPerStream{ 600 };

std::uint64_t
FromHex(const std::string& aText)
{
  std::uint64_t value = 0;
  return absl::SimpleHexAtoi(aText, &value) ? value : 0;
}

/// Returns the text of one token, which identifies its prompt by a checksum.
std::string
TokenText(const std::string& aPrompt, int aOffset)
{
  Poco::Checksum sum(Poco::Checksum::TYPE_CRC32);
  sum.update(aPrompt);
  return absl::StrCat(
    absl::Hex(sum.checksum(), absl::kZeroPad8), ":", aOffset, " ");
}

} // namespace

void
FakeEngine::Reserve(const Call& aCall, Responder& aResponder)
{
  absl::Status status;
  WithLock([&](Instant aNow) {
    const auto key = AttemptOf(aCall);
    const auto pieces = aCall.mJson->optValue("pieces", 1);
    status = key.ok() ? mAttempts.Reserve(*key, pieces, aNow) : key.status();
  });
  SendStatus(aResponder, status);
}

void
FakeEngine::Import(const Call& aCall, Responder& aResponder)
{
  const auto& body = *aCall.mJson;
  const auto prompt = TextOf(body, "prompt");
  CrashIfMarked(prompt);
  absl::Status status;
  WithLock([&](Instant aNow) {
    const auto key = AttemptOf(aCall);
    const auto tokens = body.optValue("tokens", 0);
    status =
      key.ok() ? mAttempts.Import(*key, tokens, prompt, aNow) : key.status();
  });
  SendStatus(aResponder, status);
}

void
FakeEngine::Decode(const Call& aCall, Responder& aResponder)
{
  const auto& body = *aCall.mJson;
  const auto offset = body.optValue("offset", 0);
  const auto total = body.optValue("max_tokens", 0);
  const auto key = AttemptOf(aCall);
  if (!key.ok()) {
    SendStatus(aResponder, key.status());
    return;
  }
  absl::StatusOr<Attempt> stream;
  WithLock(
    [&](Instant aNow) { stream = mAttempts.OpenStream(*key, offset, aNow); });
  if (!stream.ok()) {
    SendStatus(aResponder, stream.status());
    return;
  }
  bool isComplete = true;
  try {
    auto& out = aResponder.BeginStream();
    const auto cutAfter = mFaults.Current().mCutAfterTokens;
    for (int n = offset; isComplete && n < total; ++n) {
      isComplete = (cutAfter == 0 || n - offset < cutAfter) &&
                   StreamToken(out, *key, *stream, n);
    }
    mFaults.WaitWhileFrozen();
    if (isComplete) {
      out << "event: end\ndata: {\"tokens\": " << total << "}\n\n"
          << std::flush;
      isComplete = out.good();
    }
  } catch (const Poco::Exception&) {
    isComplete = false;
  }
  WithLock([&](Instant) {
    if (isComplete) {
      mAttempts.Release(*key);
    } else {
      mAttempts.CloseStream(*key, stream->mStreamNumber);
    }
  });
  if (!isComplete) {
    aResponder.Close();
  }
}

bool
FakeEngine::StreamToken(std::ostream& aOut,
                        AttemptKey aKey,
                        const Attempt& aStream,
                        int aOffset)
{
  // Tokens that an earlier stream decoded are sent without delay.
  if (aOffset >= aStream.mDecodedTokens) {
    int streams = 0;
    WithLock([&](Instant aNow) {
      streams = mAttempts.CurrentUsage(aNow).mOpenStreams;
    });
    SimulateWork(kDecodeStep + kDecodeStepPerStream * streams);
  }
  mFaults.WaitWhileFrozen();
  bool isCurrent = false;
  WithLock([&](Instant) {
    isCurrent = mAttempts.RecordToken(aKey, aStream.mStreamNumber, aOffset + 1);
  });
  if (!isCurrent) {
    return false;
  }
  Json token;
  token.set("offset", aOffset);
  token.set("tokens", 1);
  token.set("text", TokenText(aStream.mPrompt, aOffset));
  aOut << "data: " << ToText(token) << "\n\n" << std::flush;
  return aOut.good();
}

void
FakeEngine::Cancel(const Call& aCall, Responder& aResponder)
{
  const auto key = AttemptOf(aCall);
  if (key.ok()) {
    WithLock([&](Instant aNow) { mAttempts.Cancel(*key, aNow); });
  }
  SendStatus(aResponder, key.status());
}

void
FakeEngine::CancelRange(const Call& aCall, Responder& aResponder)
{
  const auto& body = *aCall.mJson;
  const auto incarnation = FromHex(TextOf(body, "incarnation"));
  const auto last = FromHex(TextOf(body, "last"));
  Json answer;
  WithLock([&](Instant aNow) {
    answer.set("cancelled", mAttempts.CancelRange(incarnation, last, aNow));
  });
  aResponder.Send(200, ToText(answer));
}

} // namespace heatherfork::stand_in
