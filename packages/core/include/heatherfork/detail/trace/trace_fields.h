#pragma once

#include "heatherfork/detail/trace/configuration_fields.h"
#include "heatherfork/detail/trace/event_fields.h"
#include "heatherfork/detail/trace/fleet_fields.h"
#include "heatherfork/detail/trace/request_fields.h"
#include "heatherfork/trace.h"

/// Field lists of the line types of a trace.
namespace heatherfork::detail::trace {

template<>
inline constexpr auto kFields<TraceHeader> =
  Fields("Trace",
         Field{ "version", &TraceHeader::mVersion },
         Field{ "has_effects", &TraceHeader::mHasEffects });

template<>
inline constexpr auto kFields<NodeStarted> =
  Fields("NodeStarted", Field{ "settings", &NodeStarted::mSettings });

template<>
inline constexpr auto kFields<EventRecorded> =
  Fields("Event",
         Field{ "node", &EventRecorded::mNode },
         Field{ "at", &EventRecorded::mAt },
         Field{ "body", &EventRecorded::mBody });

template<>
inline constexpr auto kFields<EffectRecorded> =
  Fields("Effect",
         Field{ "node", &EffectRecorded::mNode },
         Field{ "effect", &EffectRecorded::mEffect });

template<>
inline constexpr auto kFields<ArrivalsExpected> =
  Fields("ExpectArrivals",
         Field{ "tenant", &ArrivalsExpected::mWorkspace },
         Field{ "key", &ArrivalsExpected::mKey },
         Field{ "at_least", &ArrivalsExpected::mAtLeast },
         Field{ "at_most", &ArrivalsExpected::mAtMost });

template<>
inline constexpr auto kFields<AnswerExpected> =
  Fields("ExpectAnswer",
         Field{ "node", &AnswerExpected::mNode },
         Field{ "caller", &AnswerExpected::mCaller },
         Field{ "ok", &AnswerExpected::mOk },
         Field{ "error", &AnswerExpected::mError },
         Field{ "outcome", &AnswerExpected::mOutcome },
         Field{ "body", &AnswerExpected::mBody });

template<>
inline constexpr auto kFields<NoAnswerExpected> =
  Fields("ExpectNoAnswer",
         Field{ "node", &NoAnswerExpected::mNode },
         Field{ "caller", &NoAnswerExpected::mCaller });

template<>
inline constexpr auto kFields<InvariantsExpected> = Fields("ExpectTruth");

template<>
inline constexpr auto kFields<MemoryFreeExpected> = Fields("ExpectMemoryFree");

} // namespace heatherfork::detail::trace
