// Stand-in for the weight store: streams zero bytes at a limited rate, shared
// by all fetches; too many fetches at once are refused.
#ifndef STANDINS_WEIGHT_STORE_WEIGHT_STORE_STAND_IN_H_
#define STANDINS_WEIGHT_STORE_WEIGHT_STORE_STAND_IN_H_

#include <cstdint>
#include <list>
#include <memory>

#include "http_server/http_server.h"

namespace toucanhollow {

struct WeightStoreOptions {
  std::int64_t bytes_per_s = 100'000'000;
  std::size_t max_fetches = 8;
};

class WeightStoreStandIn {
 public:
  WeightStoreStandIn(EventLoop& loop, WeightStoreOptions options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponseWriter>& writer);

 private:
  struct Fetch {
    std::shared_ptr<HttpResponseWriter> writer;
    std::int64_t left = 0;
  };
  void Send();

  WeightStoreOptions options;
  std::list<Fetch> fetches;
  std::unique_ptr<Timer> tick;
};

}  // namespace toucanhollow

#endif  // STANDINS_WEIGHT_STORE_WEIGHT_STORE_STAND_IN_H_
