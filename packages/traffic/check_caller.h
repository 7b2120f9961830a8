// Checks a caller's request against the configured routes and client accounts.
#ifndef TRAFFIC_CHECK_CALLER_H_
#define TRAFFIC_CHECK_CALLER_H_

#include <string_view>

#include "traffic/traffic_config.h"

namespace toucanhollow {

// The parts of a request that determine its route and its client account.
struct CallerRequestHead {
  std::string_view host;
  std::string_view target;
  // The client account's key; empty if the request carries none.
  std::string_view key;
};

enum class CallerVerdict {
  kServed,
  // The configuration may be out of date, or none has arrived yet: the request
  // has not run, and a retry may succeed.
  kUnavailable,
  kNoRoute,
  kUnknownKey,
};

struct CallerCheck {
  CallerVerdict verdict = CallerVerdict::kUnavailable;
  // For logs; empty if served.
  std::string_view why = {};
  // Null if not found. Both point into the configuration.
  const Route* route = nullptr;
  const ClientAccount* account = nullptr;
};

// `traffic` is null before the first configuration arrives. `fresh` means that
// the configuration is known to be the newest; an older one may lack routes and
// keys that exist by now.
CallerCheck CheckCaller(const TrafficConfig* traffic,
                        bool fresh,
                        const CallerRequestHead& request);

}  // namespace toucanhollow

#endif  // TRAFFIC_CHECK_CALLER_H_
