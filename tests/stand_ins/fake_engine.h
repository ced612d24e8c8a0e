#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "attempt_table.h"
#include "load_history.h"
#include "prefix_cache.h"
#include "stand_in.h"
#include "turn_queue.h"

/// Test double for a model engine (docs/protocols/engine.md).
namespace heatherfork::stand_in {

using std::chrono::microseconds;

/// Initial configuration of an engine.
struct EngineOptions
{
  std::string mRole = "prefill";
  std::string mModel; ///< Loaded at startup; empty loads none.
  std::string mVersion = "1";
  Capacity mCapacity;
  PrefixCacheOptions mCache;
  milliseconds mLoadLag{ 300 };
  milliseconds mWeightLoad{ 500 }; ///< Time to load a model's weights.
  double mSpeed = 1;               ///< Divisor of every simulated duration.
  bool mChecksFencing = false;
};

/// Maps a status to the HTTP status of the answer.
int
HttpStatus(const absl::Status& aStatus);

/// Answers 200 with {}, or an error status with {"error": MESSAGE}.
void
SendStatus(Responder& aResponder, const absl::Status& aStatus);

/// Parses the attempt of a call.
absl::StatusOr<AttemptKey>
AttemptOf(const Call& aCall);

/// Returns a text field of a call's body, or an empty text if it is absent.
std::string
TextOf(const Json& aBody, const std::string& aField);

/// A simulated prefill or decode engine with batching, a KV cache and orders.
class FakeEngine : public StandIn
{
public:
  explicit FakeEngine(EngineOptions aOptions);

  void Handle(const Call& aCall, Responder& aResponder) override;
  void AddCounters(Json& aCounters) override;

private:
  using Method = void (FakeEngine::*)(const Call&, Responder&);

  void Reserve(const Call& aCall, Responder& aResponder);
  void Prefill(const Call& aCall, Responder& aResponder);
  void Transfer(const Call& aCall, Responder& aResponder);
  void Import(const Call& aCall, Responder& aResponder);
  void Decode(const Call& aCall, Responder& aResponder);
  void Cancel(const Call& aCall, Responder& aResponder);
  void CancelRange(const Call& aCall, Responder& aResponder);
  void ReportLoad(const Call& aCall, Responder& aResponder);
  void ReportCacheEvents(const Call& aCall, Responder& aResponder);
  void Order(const Call& aCall, Responder& aResponder);

  absl::Status ApplyOrder(const Json& aOrder);
  absl::Status RunPrefill(AttemptKey aKey, const Json& aCall, Json& aAnswer);
  absl::Status SendKvCache(const Json& aCall, const Attempt& aResult);
  bool StreamToken(std::ostream& aOut,
                   AttemptKey aKey,
                   const Attempt& aStream,
                   int aOffset);
  void SimulateWork(microseconds aCost) const;
  void CrashIfMarked(const std::string& aPrompt) const;
  /// Runs the function under the lock; records the load before and after.
  void WithLock(const std::function<void(Instant)>& aBody);
  Load CurrentLoad(Instant aNow);

  static const std::map<std::string, Method> kMethods;

  EngineOptions mOptions;
  std::mutex mMutex;
  AttemptTable mAttempts;
  LoadHistory mHistory;
  PrefixCache mCache;
  TurnQueue mPrefillQueue;
  std::string mRole;
  std::map<std::string, std::string> mVersionOfModel;
  std::set<std::string> mAdapters;
  std::uint64_t mFence = 0;
  std::map<std::string, int> mArrivals; ///< By path and attempt.
  std::map<std::string, int> mCalls;    ///< By path.
};

} // namespace heatherfork::stand_in
