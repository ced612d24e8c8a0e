#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <variant>

#include "heatherfork/detail/relay/answer_limits.h"
#include "heatherfork/detail/relay/sockets.h"

/// Bytes that a caller has not received yet.
namespace heatherfork::relay {

/// FIFO queue of the parts of responses.
class CallerOutput
{
public:
  void Add(std::string_view aBytes);

  /// Adds bytes that remain charged to a budget until they are written. Returns
  /// false, and adds nothing, if the budget is exhausted.
  bool TryAdd(std::string_view aBytes, AnswerBudget& aBudget);

  /// Adds the body of a complete response. It remains charged to its budget
  /// until it is written.
  void Add(BudgetedText aBody);

  /// Writes as much as the socket accepts.
  IoResult Write(int aDescriptor);

  bool IsEmpty() const { return mParts.empty(); }
  void Clear();

  /// Unwritten bytes, including budgeted ones.
  std::size_t Size() const { return mBytes + mBudgetedBytes; }

  /// Unwritten bytes that no budget limits.
  std::size_t UnbudgetedBytes() const { return mBytes; }

private:
  using Part = std::variant<std::string, BudgetedText>;

  std::deque<Part> mParts;
  std::size_t mWrittenBytes = 0; ///< Of the first part.
  std::size_t mBytes = 0;
  std::size_t mBudgetedBytes = 0;
};

} // namespace heatherfork::relay
