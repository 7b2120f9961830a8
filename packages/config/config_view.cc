#include "config/config_view.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "config/subject_copies.h"

namespace toucanhollow {
namespace {

struct ViewBuilder {
  ConfigView& view;
  const std::string& name;
  LogOffset revision;

  void operator()(const ModelGroupContent& group) const {
    ServiceView& service = this->Service();
    service.group = group;
  }
  void operator()(const PlainServiceContent& plain) const {
    ServiceView& service = this->Service();
    // A model group of the same name takes precedence; it was added before,
    // since subjects are ordered by kind.
    if (!service.group) {
      service.plain = plain;
    }
  }
  void operator()(const AccountContent& account) const {
    this->view.accounts[{this->name}] = account;
  }
  void operator()(const DataCentreContent& data_centre) const {
    this->view.data_centres[{this->name}] = {data_centre, this->revision};
  }
  void operator()(const EndpointContent& endpoint) const {
    ConfiguredEndpoint& entry = this->view.endpoints[{this->name}];
    entry.name = {this->name};
    entry.content = endpoint;
    entry.revision = this->revision;
  }

  ServiceView& Service() const {
    ServiceView& service = this->view.services[{this->name}];
    service.name = {this->name};
    service.revision = std::max(service.revision, this->revision);
    return service;
  }
};

const AccountShares& GetAccountShares(const ServiceView& service) {
  return service.group ? service.group->accounts : service.plain->accounts;
}

int GetFullLimit(const ServiceView& service) {
  return service.group ? service.group->full_limit : service.plain->full_limit;
}

void LinkEndpoint(ConfigView& view, ConfiguredEndpoint& endpoint) {
  const auto data_centre = view.data_centres.find(endpoint.content.data_centre);
  endpoint.in_service = endpoint.content.in_service &&
                        data_centre != view.data_centres.end() &&
                        data_centre->second.content.in_service;
  const auto service = view.services.find(endpoint.content.service);
  if (service != view.services.end()) {
    service->second.endpoints.push_back(endpoint.name);
    endpoint.full_limit = GetFullLimit(service->second);
  }
  if (endpoint.content.full_limit) {
    endpoint.full_limit = *endpoint.content.full_limit;
  }
}

}  // namespace

ConfigView MakeConfigView(const ConfigState& state) {
  ConfigView view;
  view.as_of = ConfigOffset(state);
  view.ready = state.has_source;
  for (const auto& [subject, known] : state.subjects) {
    const ConfigCopy* copy = FindCopyInForce(known.copies);
    if (copy != nullptr && copy->content) {
      std::visit(ViewBuilder{view, subject.name, copy->offset}, *copy->content);
    }
  }
  for (auto& [name, endpoint] : view.endpoints) {
    LinkEndpoint(view, endpoint);
  }
  return view;
}

std::vector<ConfiguredEndpoint> ListEndpointsInService(
    const ConfigView& view,
    const ServiceName& service) {
  std::vector<ConfiguredEndpoint> endpoints;
  const auto found = view.services.find(service);
  if (found == view.services.end()) {
    return endpoints;
  }
  for (const EndpointName& name : found->second.endpoints) {
    const ConfiguredEndpoint& endpoint = view.endpoints.at(name);
    if (endpoint.in_service) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

std::vector<ServiceName> ListGroupsOfModel(const ConfigView& view,
                                           std::string_view model,
                                           const AccountName& account) {
  std::vector<ServiceName> groups;
  for (const auto& [name, service] : view.services) {
    if (service.group && service.group->model == model &&
        GetAccountShare(view, name, account) > 0) {
      groups.push_back(name);
    }
  }
  return groups;
}

int SlotsPerRank(const ModelGroupContent& group) {
  if (group.slots_per_rank > 0) {
    return group.slots_per_rank;
  }
  const int even_share = (group.experts + group.ranks - 1) / group.ranks;
  return std::min(even_share + 1, group.experts);
}

double GetAccountShare(const ConfigView& view,
                       const ServiceName& service,
                       const AccountName& account) {
  const auto found = view.services.find(service);
  if (found == view.services.end()) {
    return 0;
  }
  const AccountShares& shares = GetAccountShares(found->second);
  const auto share = shares.find(account);
  if (share == shares.end()) {
    return 0;
  }
  const auto factor = view.accounts.find(account);
  return share->second *
         (factor == view.accounts.end() ? 1 : factor->second.share);
}

bool IsRepeatable(const ServiceView& service,
                  std::string_view method,
                  std::string_view path) {
  if (service.group) {
    return true;
  }
  path = path.substr(0, path.find('?'));
  const CallRule* longest = nullptr;
  for (const CallRule& rule : service.plain->calls) {
    if (rule.method == method && path.starts_with(rule.path_prefix) &&
        (longest == nullptr ||
         rule.path_prefix.size() > longest->path_prefix.size())) {
      longest = &rule;
    }
  }
  return longest != nullptr && longest->repeatable;
}

}  // namespace toucanhollow
