// Counters, gauges and summaries of one process, formatted as text for a
// metrics scraper. Not thread-safe: owned by one event loop.
#ifndef METRICS_METRICS_H_
#define METRICS_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace toucanhollow {

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `amount` to a counter. `labels` is empty or, for example,
  // `code="1105"`.
  void Count(std::string_view name,
             std::string_view labels = "",
             std::uint64_t amount = 1);

  // Sets a gauge to its current value.
  void SetGauge(std::string_view name,
                double value,
                std::string_view labels = "");

  // Adds a sample to a summary, which reports p50, p95, p99, mean and count.
  void Observe(std::string_view name, double sample);

  // Returns 0 for a counter that was never incremented.
  std::uint64_t CounterValue(std::string_view name,
                             std::string_view labels = "") const;

  // Returns lines "toucanhollow_<name>{<labels>} <value>": counters, then
  // gauges, then summaries, each sorted by name.
  std::string FormatText() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // METRICS_METRICS_H_
