// Signals to the processes of one run, drawn from its seed: series that overlap
// at several processes, and some that begin with a process.
#ifndef SOAK_PLAN_SIGNALS_H_
#define SOAK_PLAN_SIGNALS_H_

#include <vector>

#include "base/time.h"

namespace toucanhollow {

struct SentSignal {
  // From the begin of the series, or from the start of the process.
  Duration after{0};
  int signal = 0;

  bool operator==(const SentSignal&) const = default;
};

struct SignalSeries {
  Duration at{0};
  bool to_agent = false;
  // Which host or agent, modulo their number.
  unsigned int which = 0;
  std::vector<SentSignal> signals;
  // The process is stopped, and the signals meet the next one.
  bool at_next_start = false;
  // From the end of a process to the start of the next one.
  Duration restart_pause{0};

  bool operator==(const SignalSeries&) const = default;
};

struct SignalOptions {
  Duration length{0};
  // SIGINT is among the signals.
  bool interrupts = true;
};

// In order of time.
std::vector<SignalSeries> PlanSignals(unsigned int seed,
                                      const SignalOptions& options);

}  // namespace toucanhollow

#endif  // SOAK_PLAN_SIGNALS_H_
