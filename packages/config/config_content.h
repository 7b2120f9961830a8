// The contents of configuration records, after decoding. Schema versions 1 and
// 2 decode into the same types; what schema 1 cannot say has its default here.
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

// Concurrent requests that a warm endpoint bears, where no record says more.
constexpr int kDefaultFullLimit = 32;

// One account's right to use a service, with its share against the other
// accounts of that service.
using AccountShares = std::map<AccountName, double>;

// A group of ranks that advance in lock-step. Subject: the group's name.
struct ModelGroupContent {
  std::string model;
  int ranks = 1;
  int experts = 1;
  AccountShares accounts;
  // Share of the model's work against other groups of the same model.
  double weight = 1;
  int full_limit = kDefaultFullLimit;
  // Experts that a rank has room for, replicas included. 0 leaves room for one
  // more than an even share.
  int slots_per_rank = 0;

  bool operator==(const ModelGroupContent&) const = default;
};

// Calls whose method matches and whose path begins with the prefix.
struct CallRule {
  std::string method;
  std::string path_prefix;
  bool repeatable = false;

  bool operator==(const CallRule&) const = default;
};

// A plain service. Subject: the service's name. Calls that no rule matches are
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
  // Where its agent accepts links; tried in order.
  std::vector<Address> addresses;
  bool in_service = true;
  // Share of the service's work against its other endpoints.
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
