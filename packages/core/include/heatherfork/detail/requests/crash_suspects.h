#pragma once

#include <cstdint>
#include <map>

#include "heatherfork/time.h"

/// Requests that may have crashed backend servers.
namespace heatherfork::detail {

/// Tracks crash suspects by fingerprint: requests whose run ended with a crash
/// of the backend server. A suspect runs isolated. A request that only shared
/// the server with the cause is cleared by its next success, and the cause
/// does not fail other requests again.
class CrashSuspects
{
public:
  /// Records a crash. `aIsIsolated`: no other request ran on the server.
  void OnCrash(std::uint64_t aFingerprint, bool aIsIsolated, Instant aUntil);

  /// Clears a request after a successful run.
  void OnSuccess(std::uint64_t aFingerprint);

  /// Merges another node's count; the higher count and the later expiry win.
  void Merge(std::uint64_t aFingerprint, int aIsolatedCrashes, Instant aUntil);

  /// Whether the next run must be isolated.
  bool IsSuspect(std::uint64_t aFingerprint) const;

  /// Whether the request has reached `kMaxIsolatedCrashes` and is refused.
  bool IsRefused(std::uint64_t aFingerprint) const;

  int IsolatedCrashCount(std::uint64_t aFingerprint) const;

  void DropExpired(Instant aNow);

  /// Crashes during isolated runs after which a request is refused.
  static constexpr int kMaxIsolatedCrashes = 2;

private:
  struct Suspect
  {
    int mIsolatedCrashes = 0;
    Instant mUntil{};
  };

  std::map<std::uint64_t, Suspect> mSuspects;
};

} // namespace heatherfork::detail
