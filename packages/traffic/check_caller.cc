#include "traffic/check_caller.h"

#include "traffic/find_route.h"

namespace toucanhollow {

CallerCheck CheckCaller(const TrafficConfig* traffic,
                        bool fresh,
                        const CallerRequestHead& request) {
  if (traffic == nullptr) {
    return {CallerVerdict::kUnavailable, "no configuration yet"};
  }
  const Route* route = FindRoute(*traffic, request.host, request.target);
  if (route == nullptr) {
    return fresh ? CallerCheck{CallerVerdict::kNoRoute, "no route"}
                 : CallerCheck{CallerVerdict::kUnavailable,
                               "no route in an unconfirmed configuration"};
  }
  const auto account = request.key.empty()
                           ? traffic->accounts_by_key.end()
                           : traffic->accounts_by_key.find(request.key);
  if (account != traffic->accounts_by_key.end()) {
    return {CallerVerdict::kServed, "", route, &account->second};
  }
  if (!traffic->requires_key || route->anonymous) {
    return {CallerVerdict::kServed, "", route};
  }
  // No configuration ever holds an empty key.
  return fresh || request.key.empty()
             ? CallerCheck{CallerVerdict::kUnknownKey, "unknown key", route}
             : CallerCheck{CallerVerdict::kUnavailable,
                           "unknown key in an unconfirmed configuration",
                           route};
}

}  // namespace toucanhollow
