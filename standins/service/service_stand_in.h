// Stand-in for a plain service. POST runs a call that may not be repeated and
// is recorded with key and body; GET reads.
//
// Control paths:
//   POST /control/lose_answers?count=   the next calls run, then their
//                                       connections are closed
//   POST /control/delay?ms=             delays answers, not runs
//   POST /control/refuse?count=         refuses the next calls, not run
//   GET  /control/runs                  "<method> <key or -> <body>" lines
//   GET  /control/stats                 "<name> <value>" lines
#ifndef STANDINS_SERVICE_SERVICE_STAND_IN_H_
#define STANDINS_SERVICE_SERVICE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http_server/http_server.h"

namespace toucanhollow {

class ServiceStandIn {
 public:
  explicit ServiceStandIn(EventLoop& loop) : loop(loop) {}

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponseWriter>& writer);

 private:
  struct Run {
    std::string method;
    std::string key;
    std::string body;
  };
  void HandleControl(const HttpRequest& request, HttpResponseWriter& writer);
  void HandleCall(const HttpRequest& request,
                  const std::shared_ptr<HttpResponseWriter>& writer);

  EventLoop& loop;
  std::vector<Run> runs;
  std::int64_t reads = 0;
  std::int64_t answers_to_lose = 0;
  std::int64_t calls_to_refuse = 0;
  Duration delay{};
  std::uint64_t next_delayed_id = 1;
  std::map<std::uint64_t, std::unique_ptr<Timer>> delayed;
};

}  // namespace toucanhollow

#endif  // STANDINS_SERVICE_SERVICE_STAND_IN_H_
