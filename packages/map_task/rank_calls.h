// RankCalls: asks all ranks of a group the same thing, or sends them orders,
// and collects what comes back within a short time.
#ifndef MAP_TASK_RANK_CALLS_H_
#define MAP_TASK_RANK_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"

namespace toucanhollow {

// A rank's server and where it is reached.
struct RankAddress {
  std::string server;
  Address agent;
  Address engine;

  bool operator==(const RankAddress&) const = default;
};

struct RankCall {
  RankAddress rank;
  std::string method = "GET";
  std::string path;  // with the query
  std::string body;
};

struct RankAnswer {
  std::string server;
  int status = 0;  // 0 if none came
  std::string body;
};

class RankCalls {
 public:
  RankCalls(EventLoop& loop, HttpClient& client);
  ~RankCalls();

  // Calls all ranks through their agents, and directly where the agent did not
  // answer and `direct` is true. `done` gets one answer a call.
  void Start(const std::vector<RankCall>& calls,
             Duration timeout,
             bool direct,
             std::function<void(std::vector<RankAnswer>)> done);

 private:
  struct Batch;
  void Call(const std::shared_ptr<Batch>& batch,
            std::size_t index,
            bool through_agent);

  EventLoop& loop;
  HttpClient& client;
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_CALLS_H_
