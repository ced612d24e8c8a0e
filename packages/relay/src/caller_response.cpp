#include "heatherfork/detail/relay/caller_response.h"

#include "heatherfork/detail/relay/caller_port.h"

namespace heatherfork::relay {

CallerResponse::CallerResponse(std::shared_ptr<CallerConnection> aConnection)
  : mConnection(std::move(aConnection))
{
}

CallerResponse::~CallerResponse()
{
  Abort();
}

void
CallerResponse::SetRequest(std::string aId, Duration aTimeLeft)
{
  if (mConnection != nullptr) {
    mConnection->SetRequest(std::move(aId), aTimeLeft);
  }
}

std::size_t
CallerResponse::UnreadBytes() const
{
  return mConnection == nullptr ? 0 : mConnection->UnreadBytes();
}

void
CallerResponse::Send(std::string_view aBytes)
{
  if (mConnection != nullptr) {
    mConnection->Send(aBytes);
  }
}

bool
CallerResponse::TrySend(std::string_view aBytes, AnswerBudget& aBudget)
{
  return mConnection == nullptr || mConnection->TrySend(aBytes, aBudget);
}

void
CallerResponse::Send(BudgetedText aBody)
{
  if (mConnection != nullptr) {
    mConnection->Send(std::move(aBody));
  }
}

// The connection may pass its next request on, with a response of its own.
void
CallerResponse::Finish(bool aKeepOpen)
{
  if (const auto connection = std::exchange(mConnection, nullptr)) {
    connection->Finish(aKeepOpen);
  }
}

void
CallerResponse::Abort()
{
  if (const auto connection = std::exchange(mConnection, nullptr)) {
    connection->Abort();
  }
}

bool
CallerResponse::WantsClose() const
{
  return mConnection == nullptr || mConnection->WantsClose();
}

} // namespace heatherfork::relay
