// Records health samples of an endpoint: completed dispatches and the engine's
// load reports.
#ifndef ADMISSION_HEALTH_H_
#define ADMISSION_HEALTH_H_

#include "admission/admission_state.h"
#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

enum class CompletionOutcome {
  kAnswered,
  kError,          // the engine failed the request or broke the stream
  kEngineRefused,  // the engine refused for lack of capacity
  kCancelled,      // by the caller; not evidence of the endpoint's health
  kNotRun,         // the slot was held but the engine never got the request
};

struct CompletionSample {
  DispatchId dispatch;
  CompletionOutcome outcome = CompletionOutcome::kAnswered;
  // Time from start to first token, or to the answer for plain services.
  Duration first_token{0};
  // Prompt tokens that the engine had to compute.
  int prefill_tokens = 0;
  // Mean time between tokens; zero if there were fewer than two.
  Duration step{0};

  bool operator==(const CompletionSample&) const = default;
};

// Frees the slot of a dispatch and evaluates its sample. A healthy sample grows
// the limit if at least half of it was in use; an unhealthy one, an error or a
// refusal by the engine halves it. A sample of an unknown dispatch is ignored.
AdmissionState RecordCompletion(AdmissionState&& state,
                                const CompletionSample& sample,
                                TimePoint now);

struct EngineReport {
  Incarnation engine;
  // Requests of all senders in the engine, running or queued.
  int running = 0;
  // Recent step time; zero if the engine ran no step.
  Duration step{0};

  bool operator==(const EngineReport&) const = default;
};

// Applies a load report. A new engine incarnation resets the limit to the cold
// limit, and an unhealthy step time halves it. The first report after the
// agent's start gives the number of requests that an earlier incarnation of the
// agent left in the engine.
AdmissionState RecordEngineReport(AdmissionState&& state,
                                  const EngineReport& report,
                                  TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_HEALTH_H_
