// ServiceRate: the measured rate at which a backlogged queue is served.
#ifndef OVERLOAD_SERVICE_RATE_H_
#define OVERLOAD_SERVICE_RATE_H_

#include "base/time.h"

namespace toucanhollow {

struct ServiceRate {
  // Cost served per ms; zero until the first window is complete.
  double cost_per_ms = 0;
  // The open measuring window. It runs only while requests wait, because an
  // idle queue shows the demand and not the capacity.
  bool open = false;
  TimePoint window_start;
  double window_cost = 0;

  bool operator==(const ServiceRate&) const = default;
};

// To be called when the queue becomes backlogged (OpenWindow) or empty
// (CloseWindow).
ServiceRate OpenWindow(const ServiceRate& rate, TimePoint now);
ServiceRate CloseWindow(const ServiceRate& rate, TimePoint now);

ServiceRate RecordServed(const ServiceRate& rate, double cost, TimePoint now);

// The rate at `now`, which includes a stall in the open window; zero if
// unknown.
double CostPerMs(const ServiceRate& rate, TimePoint now);

}  // namespace toucanhollow

#endif  // OVERLOAD_SERVICE_RATE_H_
