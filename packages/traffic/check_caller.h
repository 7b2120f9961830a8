// Decides by the configuration whether a caller's request is served at all.
#ifndef TRAFFIC_CHECK_CALLER_H_
#define TRAFFIC_CHECK_CALLER_H_

#include <string_view>

#include "traffic/traffic_config.h"

namespace toucanhollow {

// What a request shows of itself.
struct CallerClaim {
  std::string_view host;
  std::string_view target;
  // The client account's key; empty if the request carries none.
  std::string_view key;
};

enum class CallerVerdict {
  kServed,
  // The present configuration may be out of date, or there is none: the request
  // has not run, and another try may succeed.
  kRefused,
  kNoRoute,
  kUnknownKey,
};

struct CallerCheck {
  CallerVerdict verdict = CallerVerdict::kRefused;
  // For logs; empty if served.
  std::string_view why = {};
  // Those that were found. They live as long as the configuration.
  const Route* route = nullptr;
  const ClientAccount* account = nullptr;
};

// `traffic` is null before the first configuration. `fresh`: the configuration
// is known to be the newest; what an old one lacks may exist by now.
CallerCheck CheckCaller(const TrafficConfig* traffic,
                        bool fresh,
                        const CallerClaim& claim);

}  // namespace toucanhollow

#endif  // TRAFFIC_CHECK_CALLER_H_
