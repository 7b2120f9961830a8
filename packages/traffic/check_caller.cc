#include "traffic/check_caller.h"

#include "traffic/find_route.h"

namespace toucanhollow {

CallerCheck CheckCaller(const TrafficConfig* traffic,
                        bool fresh,
                        const CallerClaim& claim) {
  if (traffic == nullptr) {
    return {CallerVerdict::kRefused, "no configuration yet"};
  }
  const Route* route = FindRoute(*traffic, claim.host, claim.target);
  if (route == nullptr) {
    return fresh ? CallerCheck{CallerVerdict::kNoRoute, "no route"}
                 : CallerCheck{CallerVerdict::kRefused,
                               "no route in an unconfirmed configuration"};
  }
  const auto account = traffic->account_of_key.find(claim.key);
  if (account != traffic->account_of_key.end()) {
    return {CallerVerdict::kServed, "", route, &account->second};
  }
  if (!traffic->has_accounts || route->anonymous) {
    return {CallerVerdict::kServed, "", route};
  }
  // No configuration ever holds an empty key.
  return fresh || claim.key.empty()
             ? CallerCheck{CallerVerdict::kUnknownKey, "unknown key", route}
             : CallerCheck{CallerVerdict::kRefused,
                           "unknown key in an unconfirmed configuration",
                           route};
}

}  // namespace toucanhollow
