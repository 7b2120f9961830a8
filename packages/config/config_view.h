// The configuration in force, in the form that routing, fairness and the tasks
// use.
#ifndef CONFIG_CONFIG_VIEW_H_
#define CONFIG_CONFIG_VIEW_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_entry.h"
#include "base/name.h"
#include "config/config_content.h"
#include "config/config_fold.h"

namespace toucanhollow {

struct ConfiguredDataCentre {
  DataCentreContent content;
  LogOffset revision = 0;

  bool operator==(const ConfiguredDataCentre&) const = default;
};

struct ConfiguredEndpoint {
  EndpointName name;
  EndpointContent content;
  LogOffset revision = 0;
  // True if the records of the endpoint and of its data centre both say so. A
  // data centre without a record in force counts as out of service, since
  // operators have not asked for work there.
  bool in_service = false;
  // The limit of the endpoint if it has one, else that of its service.
  int full_limit = kDefaultFullLimit;

  bool operator==(const ConfiguredEndpoint&) const = default;
};

struct ServiceView {
  ServiceName name;
  LogOffset revision = 0;
  // Exactly one of the two is present.
  std::optional<ModelGroupContent> group;
  std::optional<PlainServiceContent> plain;
  // All endpoints of the service by name, in service or not.
  std::vector<EndpointName> endpoints;

  bool operator==(const ServiceView&) const = default;
};

struct ConfigView {
  // The highest offset that the view reflects.
  LogOffset as_of = 0;
  // False until the configuration was received from the log or from a peer.
  bool ready = false;
  std::map<ServiceName, ServiceView> services;
  std::map<EndpointName, ConfiguredEndpoint> endpoints;
  std::map<DataCentreName, ConfiguredDataCentre> data_centres;
  std::map<AccountName, AccountContent> accounts;

  bool operator==(const ConfigView&) const = default;
};

ConfigView MakeConfigView(const ConfigState& state);

// The endpoints of the service that are in service.
std::vector<ConfiguredEndpoint> ListEndpointsInService(
    const ConfigView& view,
    const ServiceName& service);

// The groups that serve the model and that the account may use.
std::vector<ServiceName> ListGroupsOfModel(const ConfigView& view,
                                           std::string_view model,
                                           const AccountName& account);

// The number of experts that each rank of the group can hold.
int SlotsPerRank(const ModelGroupContent& group);

// The account's share of the service; 0 if no record allows it to use the
// service.
double GetAccountShare(const ConfigView& view,
                       const ServiceName& service,
                       const AccountName& account);

// Whether the call may be repeated. The rule with the longest matching prefix
// decides; a query string is not part of the path. Calls of model groups are
// repeatable.
bool IsRepeatable(const ServiceView& service,
                  std::string_view method,
                  std::string_view path);

}  // namespace toucanhollow

#endif  // CONFIG_CONFIG_VIEW_H_
