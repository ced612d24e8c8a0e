#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

/// State that a simulated model engine keeps for each attempt.
namespace heatherfork::stand_in {

using Instant = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// An attempt's incarnation and sequence number.
using AttemptKey = std::pair<std::uint64_t, std::uint64_t>;

/// Parses "INCARNATION-SEQUENCE", each 16 hexadecimal digits; fails with
/// InvalidArgument.
absl::StatusOr<AttemptKey>
ParseAttempt(const std::string& aText);

/// Capacity of one engine and lifetimes of its entries.
struct Capacity
{
  int mSlots = 20;
  int mPieces = 200;
  int mTokensPerPiece = 2000;
  milliseconds mResultLifetime{ 800 };
  milliseconds mTombstoneLifetime{ 120000 };
};

/// Progress of an attempt at this engine.
enum class Phase : std::uint8_t
{
  kReserved,
  kPrefilling,
  kPrefilled,
  kImported,
};

/// One attempt and the resources allocated to it.
struct Attempt
{
  Phase mPhase = Phase::kReserved;
  int mPieces = 0;
  int mTokens = 0;
  std::string mPrompt;    ///< Represents the content of the KV cache.
  Instant mEvictAt{};     ///< Valid in phase kPrefilled only.
  int mDecodedTokens = 0; ///< Tokens decoded so far.
  int mStreamNumber = 0;  ///< Number of the newest decode stream; 0 for none.
  bool mIsStreamOpen = false; ///< The newest stream is being written.
};

/// Resources in use, summed over all attempts.
struct Usage
{
  int mSlots = 0;
  int mPieces = 0;
  int mOpenStreams = 0;
  std::size_t mTombstones = 0;
};

/// The attempts of one engine. Not thread-safe. The caller passes the current
/// time, which must not decrease.
class AttemptTable
{
public:
  explicit AttemptTable(Capacity aCapacity);

  absl::Status Reserve(AttemptKey aKey, int aPieces, Instant aNow);
  absl::Status BeginPrefill(AttemptKey aKey,
                            int aTokens,
                            const std::string& aPrompt,
                            Instant aNow);
  absl::Status EndPrefill(AttemptKey aKey, Instant aNow);
  /// Returns the prefilled result; fails with OutOfRange if it was evicted or
  /// never existed.
  absl::StatusOr<Attempt> Result(AttemptKey aKey, Instant aNow);
  absl::Status Import(AttemptKey aKey,
                      int aTokens,
                      const std::string& aPrompt,
                      Instant aNow);
  /// Opens a decode stream, which replaces the previous one.
  absl::StatusOr<Attempt> OpenStream(AttemptKey aKey,
                                     int aOffset,
                                     Instant aNow);
  /// Records the number of decoded tokens. Returns false if the attempt has
  /// ended or a newer stream has replaced this one.
  bool RecordToken(AttemptKey aKey, int aStream, int aDecodedTokens);
  /// Closes a stream that ended without its end event; the attempt keeps its
  /// resources.
  void CloseStream(AttemptKey aKey, int aStream);
  void Release(AttemptKey aKey);

  void Cancel(AttemptKey aKey, Instant aNow);
  int CancelRange(std::uint64_t aIncarnation,
                  std::uint64_t aLast,
                  Instant aNow);

  Usage CurrentUsage(Instant aNow);
  const Capacity& Limits() const { return mCapacity; }

private:
  bool HasTombstone(AttemptKey aKey) const;
  bool HasAttempt(AttemptKey aKey) const { return mAttempts.contains(aKey); }
  bool HasRoom(int aPieces) const;
  int PiecesForTokens(int aTokens) const;
  void Expire(Instant aNow);
  Usage CountUsage() const;

  Capacity mCapacity;
  std::map<AttemptKey, Attempt> mAttempts;
  std::map<AttemptKey, Instant> mTombstones;
  /// By incarnation: the highest cancelled sequence number, which cancels all
  /// lower ones too, and the time at which the entry expires.
  std::map<std::uint64_t, std::pair<std::uint64_t, Instant>> mCancelledRanges;
};

} // namespace heatherfork::stand_in
