// Counters, gauges and latency summaries of one process, printed as text that
// a scraper reads. Owned by one loop; not shared between threads.
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

  // Adds to the counter. `labels` is empty or like `code="1105"`.
  void Count(std::string_view name,
             std::string_view labels = "",
             std::uint64_t amount = 1);

  // Sets the gauge to the present value.
  void SetGauge(std::string_view name,
                double value,
                std::string_view labels = "");

  // Adds a sample to a summary with p50, p95, p99, mean and count.
  void Observe(std::string_view name, double sample);

  std::uint64_t CounterValue(std::string_view name,
                             std::string_view labels = "") const;

  // Lines "toucanhollow_<name>{<labels>} <value>", in order of name.
  std::string Print() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // METRICS_METRICS_H_
