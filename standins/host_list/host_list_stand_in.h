// Stand-in for the platform's host list: shows changes after a lag.
//
// Control paths:
//   POST
//   /control/host?name=&address=&data_centre=&role=&state=live|leaving|gone
//   POST /control/lag?ms=
//   POST /control/outage?ms=    answers 503 for a while
#ifndef STANDINS_HOST_LIST_HOST_LIST_STAND_IN_H_
#define STANDINS_HOST_LIST_HOST_LIST_STAND_IN_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "host_list/listed_host.h"
#include "http_server/http_server.h"

namespace toucanhollow {

class HostListStandIn {
 public:
  explicit HostListStandIn(Duration lag) : lag(lag) {}

  void Handle(const HttpRequest& request, HttpResponseWriter& writer);

 private:
  struct Change {
    TimePoint visible_at;
    ListedHost host;
    bool gone = false;
  };
  bool Control(const HttpRequest& request, TimePoint now);

  Duration lag;
  std::map<std::string, ListedHost> hosts;
  std::deque<Change> changes;
  TimePoint outage_until;
};

}  // namespace toucanhollow

#endif  // STANDINS_HOST_LIST_HOST_LIST_STAND_IN_H_
