#include "fake_engines.h"

namespace heatherfork::bench {

namespace {

constexpr int kTokensPerMessage = 8; ///< The first token is sent alone.

} // namespace

FakeDecode::FakeDecode(EventQueue& aQueue,
                       BackendServer aServer,
                       const OfferLookup& aOfferLookup,
                       EngineMetrics& aMetrics)
  : FakeServer(aQueue, std::move(aServer))
  , mOfferLookup(aOfferLookup)
  , mMetrics(aMetrics)
{
}

void
FakeDecode::Call(const CallServer& aCall, CallHandlers aHandlers)
{
  if (IsDown()) {
    aHandlers.mReply(ServerReply{ CallStatus::kNotSent });
    return;
  }
  if (std::holds_alternative<ReserveCall>(aCall.mCall)) {
    Reserve(aCall, aHandlers);
  } else if (std::holds_alternative<DecodeCall>(aCall.mCall)) {
    Decode(aCall, std::move(aHandlers));
  } else if (std::holds_alternative<CancelCall>(aCall.mCall)) {
    mReservations.erase(aCall.mAttempt);
    mCancelledAttempts[aCall.mAttempt] = true;
    aHandlers.mReply(ServerReply{ CallStatus::kOk });
  } else {
    aHandlers.mReply(ServerReply{ CallStatus::kRefused });
  }
}

LoadReport
FakeDecode::Report() const
{
  return { ReservationCount(), 0, FreePieces(), mQueue.Now() };
}

int
FakeDecode::FreePieces() const
{
  int pieces = Server().mPieces;
  for (const auto& [attempt, reservation] : mReservations) {
    pieces -= reservation.mPieces;
  }
  return pieces;
}

void
FakeDecode::SetDown(bool aIsDown)
{
  FakeServer::SetDown(aIsDown);
  if (!aIsDown) {
    return;
  }
  const auto reservations = std::move(mReservations);
  mReservations.clear();
  mIsStepping = false;
  ++mScheduleNumber;
  for (const auto& [attempt, reservation] : reservations) {
    if (reservation.mIsDecoding) {
      reservation.mHandlers.mReply(ServerReply{ CallStatus::kBroken });
    }
  }
}

bool
FakeDecode::Import(const AttemptId& aAttempt)
{
  const auto it = mReservations.find(aAttempt);
  if (it == mReservations.end()) {
    return false;
  }
  it->second.mIsImported = true;
  return true;
}

void
FakeDecode::Reserve(const CallServer& aCall, const CallHandlers& aHandlers)
{
  const auto& call = std::get<ReserveCall>(aCall.mCall);
  const bool isFull =
    ReservationCount() >= Server().mSlots || FreePieces() < call.mPieces;
  if (isFull || mCancelledAttempts.contains(aCall.mAttempt)) {
    aHandlers.mReply(ServerReply{ CallStatus::kRefused });
    return;
  }
  mReservations[aCall.mAttempt].mPieces = call.mPieces;
  aHandlers.mReply(ServerReply{ CallStatus::kOk });
}

void
FakeDecode::Decode(const CallServer& aCall, CallHandlers aHandlers)
{
  const auto it = mReservations.find(aCall.mAttempt);
  const Offer* offer = mOfferLookup.OfferOf(aCall.mAttempt);
  if (it == mReservations.end() || !it->second.mIsImported ||
      offer == nullptr) {
    aHandlers.mReply(ServerReply{ CallStatus::kRefused });
    return;
  }
  Reservation& reservation = it->second;
  reservation.mIsDecoding = true;
  reservation.mGeneratedTokens = std::get<DecodeCall>(aCall.mCall).mOffset;
  reservation.mSentTokens = reservation.mGeneratedTokens;
  reservation.mTotalTokens = offer->mOutputTokens;
  reservation.mHandlers = std::move(aHandlers);
  StartStep();
}

void
FakeDecode::StartStep()
{
  if (mIsStepping) {
    return;
  }
  mBatch.clear();
  for (const auto& [attempt, reservation] : mReservations) {
    if (reservation.mIsDecoding) {
      mBatch.push_back(attempt);
    }
  }
  if (mBatch.empty()) {
    return;
  }
  mIsStepping = true;
  const std::uint64_t scheduleNumber = ++mScheduleNumber;
  const double time =
    DecodeStepMicros(static_cast<int>(mBatch.size())) * Slowness();
  mQueue.After(MicrosToDuration(time), [this, scheduleNumber] {
    if (scheduleNumber == mScheduleNumber) {
      EndStep();
    }
  });
}

void
FakeDecode::EndStep()
{
  mIsStepping = false;
  for (const AttemptId& attempt : mBatch) {
    const auto it = mReservations.find(attempt);
    if (it != mReservations.end()) {
      EndStep(attempt, it->second);
    }
  }
  StartStep();
}

void
FakeDecode::EndStep(const AttemptId& aAttempt, Reservation& aReservation)
{
  ++aReservation.mGeneratedTokens;
  AttemptMetrics& metrics = mMetrics[aAttempt];
  metrics.mHasDecoded = true;
  if (aReservation.mGeneratedTokens > 1) {
    metrics.mGaps.push_back(mQueue.Now() - metrics.mLastTokenAt);
  }
  metrics.mLastTokenAt = mQueue.Now();
  const bool isDone =
    aReservation.mGeneratedTokens >= aReservation.mTotalTokens;
  const int unsent = aReservation.mGeneratedTokens - aReservation.mSentTokens;
  if (aReservation.mSentTokens == 0 || unsent >= kTokensPerMessage || isDone) {
    aReservation.mHandlers.mTokens(aReservation.mSentTokens, unsent);
    aReservation.mSentTokens = aReservation.mGeneratedTokens;
  }
  if (!isDone) {
    return;
  }
  ServerReply reply{ CallStatus::kOk };
  reply.mTokens = aReservation.mGeneratedTokens;
  const CallHandlers handlers = std::move(aReservation.mHandlers);
  mReservations.erase(aAttempt);
  handlers.mReply(reply);
}

} // namespace heatherfork::bench
