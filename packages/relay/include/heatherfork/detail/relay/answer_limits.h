#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

/// Limits on what a node buffers of the answers of replicas and of the store.
namespace heatherfork::relay {

/// Empties a text and frees its memory, which an assignment would keep.
inline void
FreeText(std::string& aText)
{
  std::string().swap(aText);
}

/// Memory for the buffered answers of all calls together.
class AnswerBudget
{
public:
  explicit AnswerBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// Returns false, and takes nothing, if the limit would be exceeded.
  bool TryTake(std::size_t aBytes)
  {
    if (aBytes > mMaxBytes - mTakenBytes) {
      return false;
    }
    mTakenBytes += aBytes;
    return true;
  }

  void GiveBack(std::size_t aBytes) { mTakenBytes -= aBytes; }

  std::size_t TakenBytes() const { return mTakenBytes; }

private:
  std::size_t mMaxBytes;
  std::size_t mTakenBytes = 0;
};

/// Text that is charged to a budget for as long as it exists. The budget must
/// outlive it.
class BudgetedText
{
public:
  explicit BudgetedText(AnswerBudget& aBudget)
    : mBudget(aBudget)
  {
  }
  BudgetedText(BudgetedText&& aOther) noexcept
    : mBudget(aOther.mBudget)
    , mText(std::exchange(aOther.mText, {}))
  {
  }
  BudgetedText& operator=(BudgetedText&&) = delete;
  ~BudgetedText() { Clear(); }

  /// Returns false, and appends nothing, if the budget is exhausted.
  bool TryAppend(std::string_view aBytes)
  {
    if (!mBudget.TryTake(aBytes.size())) {
      return false;
    }
    mText.append(aBytes);
    return true;
  }

  void Clear()
  {
    mBudget.GiveBack(mText.size());
    FreeText(mText);
  }

  const std::string& Text() const { return mText; }

private:
  AnswerBudget& mBudget;
  std::string mText;
};

/// Bytes of an answer that reaches no caller: of a prefill, or without a
/// signature, or of a request that has not run.
inline constexpr std::size_t kMaxInternalAnswerBytes = std::size_t{ 64 } << 10;

/// Bytes of stream comments between two events.
inline constexpr std::size_t kMaxCommentBytes = std::size_t{ 64 } << 10;

/// Bytes of one answer of the store: a page of its items, or a watch answer
/// with several values of the largest size.
inline constexpr std::size_t kMaxStoreAnswerBytes = std::size_t{ 8 } << 20;

} // namespace heatherfork::relay
