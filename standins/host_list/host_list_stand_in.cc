#include "standins/host_list/host_list_stand_in.h"

#include <utility>
#include <vector>

#include "host_list/host_list_codec.h"

namespace toucanhollow {

bool HostListStandIn::Control(const HttpRequest& request, TimePoint now) {
  const auto value = [&](std::string_view name) {
    return QueryValue(request.query, name).value_or("");
  };
  const Duration length = Milliseconds(ParseDecimal(value("ms")).value_or(0));
  if (request.path == "/control/lag") {
    this->lag = length;
  } else if (request.path == "/control/outage") {
    this->outage_until = now + length;
  } else if (request.path == "/control/host" && !value("name").empty()) {
    const std::string state = value("state");
    this->changes.push_back(
        {now + this->lag,
         {value("name"), value("address"), value("data_centre"), value("role"),
          state == "leaving"},
         state == "gone"});
  } else {
    return false;
  }
  return true;
}

void HostListStandIn::Handle(const HttpRequest& request,
                             HttpResponseWriter& writer) {
  const TimePoint now = EventLoop::Now();
  if (request.path.starts_with("/control/")) {
    const bool known = this->Control(request, now);
    writer.Respond(known ? 200 : 404, {}, "");
    return;
  }
  if (request.path != "/hosts" || now < this->outage_until) {
    writer.Respond(request.path == "/hosts" ? 503 : 404, {}, "");
    return;
  }
  while (!this->changes.empty() && this->changes.front().visible_at <= now) {
    Change& change = this->changes.front();
    if (change.gone) {
      this->hosts.erase(change.host.name);
    } else {
      const std::string name = change.host.name;
      this->hosts[name] = std::move(change.host);
    }
    this->changes.pop_front();
  }
  std::vector<ListedHost> list;
  for (const auto& [name, host] : this->hosts) {
    list.push_back(host);
  }
  writer.Respond(200, {}, EncodeHostList(list));
}

}  // namespace toucanhollow
