#include "heatherfork/detail/relay/caller_output.h"

namespace heatherfork::relay {

namespace {

// Written parts are freed one by one, so a stream whose caller always lags a
// little does not accumulate.
constexpr std::size_t kMaxPartBytes = 65536;

const std::string&
BytesOf(const std::variant<std::string, BudgetedText>& aPart)
{
  const auto* body = std::get_if<BudgetedText>(&aPart);
  return body != nullptr ? body->Text() : std::get<std::string>(aPart);
}

} // namespace

void
CallerOutput::Add(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  mBytes += aBytes.size();
  auto* last =
    mParts.empty() ? nullptr : std::get_if<std::string>(&mParts.back());
  if (last != nullptr && last->size() < kMaxPartBytes) {
    last->append(aBytes);
  } else {
    mParts.emplace_back(std::string(aBytes));
  }
}

bool
CallerOutput::TryAdd(std::string_view aBytes, AnswerBudget& aBudget)
{
  auto* last =
    mParts.empty() ? nullptr : std::get_if<BudgetedText>(&mParts.back());
  if (last != nullptr && last->Text().size() < kMaxPartBytes) {
    if (!last->TryAppend(aBytes)) {
      return false;
    }
    mBudgetedBytes += aBytes.size();
    return true;
  }
  BudgetedText text(aBudget);
  if (!text.TryAppend(aBytes)) {
    return false;
  }
  Add(std::move(text));
  return true;
}

void
CallerOutput::Add(BudgetedText aBody)
{
  if (!aBody.Text().empty()) {
    mBudgetedBytes += aBody.Text().size();
    mParts.emplace_back(std::move(aBody));
  }
}

IoResult
CallerOutput::Write(int aDescriptor)
{
  while (!mParts.empty()) {
    const Part& part = mParts.front();
    const std::size_t before = mWrittenBytes;
    const IoResult result =
      WriteSome(aDescriptor, BytesOf(part), mWrittenBytes);
    const bool isBudgeted = std::holds_alternative<BudgetedText>(part);
    (isBudgeted ? mBudgetedBytes : mBytes) -= mWrittenBytes - before;
    if (result != IoResult::kOk) {
      return result;
    }
    mParts.pop_front();
    mWrittenBytes = 0;
  }
  return IoResult::kOk;
}

void
CallerOutput::Clear()
{
  mParts.clear();
  mWrittenBytes = 0;
  mBytes = 0;
  mBudgetedBytes = 0;
}

} // namespace heatherfork::relay
