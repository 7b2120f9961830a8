#include "soak/plan_signals.h"

#include <csignal>
#include <random>

namespace toucanhollow {
namespace {

constexpr int kShortestGapMs = 50;
constexpr int kGapSpreadMs = 1100;
constexpr unsigned int kMostSignals = 4;
constexpr int kSignalSpreadMs = 400;
// A process that starts is ready for requests within this time.
constexpr int kStartSpreadMs = 60;
constexpr int kRestartSpreadMs = 300;

}  // namespace

std::vector<SignalSeries> PlanSignals(unsigned int seed,
                                      const SignalOptions& options) {
  std::mt19937 random(seed ^ 0x27d4eb2fU);
  std::vector<SignalSeries> plan;
  for (Duration at{0}; at < options.length;
       at += Milliseconds(kShortestGapMs + random() % kGapSpreadMs)) {
    SignalSeries series;
    series.at = at;
    series.to_agent = random() % 2 == 0;
    series.which = random();
    series.at_next_start = random() % 3 == 0;
    // Every second process starts at once.
    const int pause = static_cast<int>(random() % kRestartSpreadMs);
    series.restart_pause = Milliseconds(random() % 2 == 0 ? 0 : pause);
    const unsigned int count = 1 + random() % kMostSignals;
    Duration after{0};
    for (unsigned int i = 0; i < count; ++i) {
      const unsigned int kind = random() % 5;
      const int signal = kind < 2                          ? SIGHUP
                         : kind < 4 || !options.interrupts ? SIGTERM
                                                           : SIGINT;
      after += Milliseconds(
          random() % (series.at_next_start ? kStartSpreadMs : kSignalSpreadMs));
      series.signals.push_back({after, signal});
    }
    plan.push_back(series);
  }
  return plan;
}

}  // namespace toucanhollow
