#include "overload/service_rate.h"

namespace toucanhollow {
namespace {

// Long enough for several completions at a small endpoint.
constexpr Duration kWindow = Milliseconds(500);
constexpr double kWindowWeight = 0.3;

double UpdatedCostPerMs(const ServiceRate& rate, TimePoint now) {
  const double sample =
      rate.window_cost / ToMilliseconds(now - rate.window_start);
  return rate.cost_per_ms == 0
             ? sample
             : rate.cost_per_ms + kWindowWeight * (sample - rate.cost_per_ms);
}

}  // namespace

ServiceRate OpenWindow(const ServiceRate& rate, TimePoint now) {
  return rate.open ? rate : ServiceRate{rate.cost_per_ms, true, now, 0};
}

ServiceRate CloseWindow(const ServiceRate& rate, TimePoint now) {
  ServiceRate closed = rate;
  if (rate.open && now - rate.window_start >= kWindow) {
    closed.cost_per_ms = UpdatedCostPerMs(rate, now);
  }
  closed.open = false;
  return closed;
}

ServiceRate RecordServed(const ServiceRate& rate, double cost, TimePoint now) {
  ServiceRate next = rate;
  if (!rate.open) {
    return next;
  }
  next.window_cost += cost;
  if (now - next.window_start >= kWindow) {
    next.cost_per_ms = UpdatedCostPerMs(next, now);
    next.window_start = now;
    next.window_cost = 0;
  }
  return next;
}

double CostPerMs(const ServiceRate& rate, TimePoint now) {
  return rate.open && now - rate.window_start >= kWindow
             ? UpdatedCostPerMs(rate, now)
             : rate.cost_per_ms;
}

}  // namespace toucanhollow
