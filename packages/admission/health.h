// Samples of an endpoint's health: completions, and the engine's load reports.
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
  kEngineRefused,  // the engine refused for want of capacity
  kCancelled,      // by the caller; says nothing about health
  kNotRun,         // the slot was taken but the engine never got the request
};

struct CompletionSample {
  DispatchId dispatch;
  CompletionOutcome outcome = CompletionOutcome::kAnswered;
  // From start to first token; for plain services to the answer.
  Duration first_token{0};
  // Prompt tokens that the engine had to compute.
  int prefill_tokens = 0;
  // Mean time between tokens; zero if there were fewer than two.
  Duration step{0};

  bool operator==(const CompletionSample&) const = default;
};

// Frees the slot of a dispatch and judges its sample: healthy grows the limit,
// unhealthy, failed and refused halve it. A sample of an unknown dispatch is
// ignored.
AdmissionState RecordCompletion(AdmissionState&& state,
                                const CompletionSample& sample,
                                TimePoint now);

struct EngineReport {
  Incarnation engine;
  // Requests in the engine, running or queued, of whatever sender.
  int running = 0;
  // Time of recent steps; zero if the engine ran none.
  Duration step{0};

  bool operator==(const EngineReport&) const = default;
};

// Applies a load report. A new engine incarnation sets the cold limit; an
// unhealthy step time halves the limit; the first report after the agent's
// start gives the work that an earlier agent left in the engine.
AdmissionState RecordEngineReport(AdmissionState&& state,
                                  const EngineReport& report,
                                  TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_HEALTH_H_
