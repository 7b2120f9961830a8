// The decoded contents of configuration records. Schema versions 1 and 2 decode
// into the same types; fields that schema 1 does not have get their defaults
// here.
#ifndef CONFIG_CONFIG_CONTENT_H_
#define CONFIG_CONFIG_CONTENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/address.h"
#include "base/name.h"

namespace toucanhollow {

// Concurrent requests that a warm endpoint can handle, unless a record sets
// another limit.
constexpr int kDefaultFullLimit = 32;

// The accounts that may use a service, each with its share relative to the
// other accounts of that service.
using AccountShares = std::map<AccountName, double>;

// A group of ranks that run in lock-step. Subject: the group's name.
struct ModelGroupContent {
  std::string model;
  int ranks = 1;
  int experts = 1;
  AccountShares accounts;
  // Share of the model's work relative to other groups of the same model.
  double weight = 1;
  int full_limit = kDefaultFullLimit;
  // Number of experts that a rank can hold, replicas included. 0 stands for one
  // more than an even split of the experts.
  int slots_per_rank = 0;

  bool operator==(const ModelGroupContent&) const = default;
};

// Whether calls with this method and path prefix are repeatable.
struct CallRule {
  std::string method;
  std::string path_prefix;
  bool repeatable = false;

  bool operator==(const CallRule&) const = default;
};

// A plain service. Subject: the service's name. Calls that match no rule are
// non-repeatable.
struct PlainServiceContent {
  AccountShares accounts;
  std::vector<CallRule> calls;
  int full_limit = kDefaultFullLimit;

  bool operator==(const PlainServiceContent&) const = default;
};

// A client account. Subject: the account's name.
struct AccountContent {
  // Multiplies the account's share in each service.
  double share = 1;

  bool operator==(const AccountContent&) const = default;
};

// A data centre. Subject: its name.
struct DataCentreContent {
  bool in_service = false;
  std::string region;

  bool operator==(const DataCentreContent&) const = default;
};

// An endpoint. Subject: its name.
struct EndpointContent {
  ServiceName service;
  DataCentreName data_centre;
  // The addresses at which its agent accepts links, tried in this order.
  std::vector<Address> addresses;
  bool in_service = true;
  // Share of the service's work relative to its other endpoints.
  double weight = 1;
  // Overrides the limit of the service.
  std::optional<int> full_limit = std::nullopt;
  // Position in its model group.
  std::optional<int> rank = std::nullopt;

  bool operator==(const EndpointContent&) const = default;
};

using ConfigContent = std::variant<ModelGroupContent,
                                   PlainServiceContent,
                                   AccountContent,
                                   DataCentreContent,
                                   EndpointContent>;

}  // namespace toucanhollow

#endif  // CONFIG_CONFIG_CONTENT_H_
