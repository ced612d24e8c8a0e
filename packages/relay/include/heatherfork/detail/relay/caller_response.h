#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "heatherfork/detail/relay/answer_limits.h"
#include "heatherfork/time.h"

/// Response to one request.
namespace heatherfork::relay {

class CallerConnection;

/// Answers one request of a connection. Keeps the connection's memory valid;
/// once the connection is closed, or the response has ended, calls do nothing.
/// Destruction before the end aborts the response.
class CallerResponse final
{
public:
  explicit CallerResponse(std::shared_ptr<CallerConnection> aConnection);
  CallerResponse(CallerResponse&&) noexcept = default;
  CallerResponse& operator=(CallerResponse&&) = delete;
  ~CallerResponse();

  /// Names the request, and the time for which its caller may pause its
  /// reading; 0: the idle timeout.
  void SetRequest(std::string aId, Duration aTimeLeft);

  /// Sends a part of the response. Disconnects a caller that leaves too much
  /// unread.
  void Send(std::string_view aBytes);

  /// Sends a part of the response, charged to a budget until it is written.
  /// Returns false, and sends nothing, if the budget is exhausted.
  bool TrySend(std::string_view aBytes, AnswerBudget& aBudget);

  /// Sends the body of a complete response.
  void Send(BudgetedText aBody);

  /// Ends the response. Then reads the next request, or closes the connection
  /// if aKeepOpen is not set.
  void Finish(bool aKeepOpen);

  /// Closes the connection before the response is complete, so that the caller
  /// notices the truncation.
  void Abort();

  /// Bytes of this response and earlier ones that the caller has not read.
  std::size_t UnreadBytes() const;

  /// Whether the request asks to close the connection.
  bool WantsClose() const;

  bool BelongsTo(const CallerConnection& aConnection) const
  {
    return mConnection.get() == &aConnection;
  }

private:
  std::shared_ptr<CallerConnection> mConnection; ///< Null after the end.
};

} // namespace heatherfork::relay
