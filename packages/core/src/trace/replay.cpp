#include "heatherfork/replay.h"

#include <deque>
#include <fstream>
#include <istream>
#include <map>
#include <optional>

#include "heatherfork/detail/text.h"
#include "heatherfork/detail/trace/outcomes.h"
#include "heatherfork/reducer.h"

namespace heatherfork {

using detail::Concat;
using detail::trace::Observer;

class Replay::State
{
public:
  absl::Status Feed(const TraceLine& aLine)
  {
    ++mLineNumber;
    if (!mHeader && !std::holds_alternative<TraceHeader>(aLine)) {
      return absl::InvalidArgumentError("expected the header first");
    }
    if (!std::holds_alternative<EffectRecorded>(aLine)) {
      ReportUnexpectedEffects();
    }
    return std::visit([this](const auto& aBody) { return ProcessLine(aBody); },
                      aLine);
  }

  ReplayReport Finish()
  {
    ++mLineNumber;
    ReportUnexpectedEffects();
    for (const auto& [line, outcome] : mOutcomes) {
      mLineNumber = line;
      std::visit([this](const auto& aBody) { CheckOutcome(aBody); }, outcome);
    }
    return mReport;
  }

private:
  absl::Status ProcessLine(const TraceHeader& aHeader)
  {
    constexpr int kSupportedVersion = 1;
    if (mHeader || aHeader.mVersion != kSupportedVersion) {
      return absl::InvalidArgumentError("expected one header, of version 1");
    }
    mHeader = aHeader;
    return absl::OkStatus();
  }

  absl::Status ProcessLine(const NodeStarted& aStarted)
  {
    const NodeName& name = aStarted.mSettings.mSelf.mName;
    mReducers[name] = std::make_unique<Reducer>(aStarted.mSettings);
    return absl::OkStatus();
  }

  absl::Status ProcessLine(const EventRecorded& aRecorded)
  {
    const auto it = mReducers.find(aRecorded.mNode);
    if (it == mReducers.end()) {
      return absl::InvalidArgumentError(Concat(
        "expected a node that has started, found ", aRecorded.mNode.mValue));
    }
    ++mReport.mEventCount;
    const Effects effects =
      it->second->Reduce(Event{ aRecorded.mAt, aRecorded.mBody });
    mObserver.Observe(it->second->Settings().mSelf, aRecorded.mBody, effects);
    mPendingNode = aRecorded.mNode;
    mPendingEffects.assign(effects.begin(), effects.end());
    return absl::OkStatus();
  }

  absl::Status ProcessLine(const EffectRecorded& aRecorded)
  {
    ++mReport.mEffectCount;
    if (mPendingEffects.empty() || aRecorded.mNode != mPendingNode) {
      Report("expected " + FormatTraceLine(aRecorded) + ", found no effect");
      return absl::OkStatus();
    }
    const Effect found = std::move(mPendingEffects.front());
    mPendingEffects.pop_front();
    if (found != aRecorded.mEffect) {
      Report("expected " + FormatTraceLine(aRecorded) + ", found " +
             FormatTraceLine(EffectRecorded{ mPendingNode, found }));
    }
    return absl::OkStatus();
  }

  template<class Outcome>
  absl::Status ProcessLine(const Outcome& aOutcome)
  {
    mOutcomes.emplace_back(mLineNumber, aOutcome);
    return absl::OkStatus();
  }

  template<class Outcome>
  void CheckOutcome(const Outcome& aOutcome)
  {
    if constexpr (requires { detail::trace::Check(mObserver, aOutcome); }) {
      ++mReport.mOutcomeCount;
      for (std::string& text : detail::trace::Check(mObserver, aOutcome)) {
        Report(std::move(text));
      }
    }
  }

  void ReportUnexpectedEffects()
  {
    if (mHeader && mHeader->mHasEffects) {
      for (const Effect& effect : mPendingEffects) {
        Report("expected no effect here, found " +
               FormatTraceLine(EffectRecorded{ mPendingNode, effect }));
      }
    }
    mPendingEffects.clear();
  }

  void Report(std::string aText)
  {
    mReport.mMismatches.push_back({ mLineNumber, std::move(aText) });
  }

  std::optional<TraceHeader> mHeader;
  std::map<NodeName, std::unique_ptr<Reducer>> mReducers;
  NodeName mPendingNode;
  std::deque<Effect> mPendingEffects; ///< Uncompared effects of the last event.
  Observer mObserver;
  std::vector<std::pair<std::size_t, TraceLine>> mOutcomes;
  ReplayReport mReport;
  std::size_t mLineNumber = 0;
};

Replay::Replay()
  : mState(std::make_unique<State>())
{
}

Replay::~Replay() = default;

absl::Status
Replay::Feed(const TraceLine& aLine)
{
  return mState->Feed(aLine);
}

ReplayReport
Replay::Finish()
{
  return mState->Finish();
}

} // namespace heatherfork
