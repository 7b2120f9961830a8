// RankEngineClient: executes a coordinator's requests at engines over HTTP.
#ifndef MAP_TASK_RANK_ENGINE_CLIENT_H_
#define MAP_TASK_RANK_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "map_task/engine_codec.h"
#include "map_task/rank_message.h"

namespace toucanhollow {

// What the answer with an engine's report says of the engine's limit.
struct EngineLimit {
  // RankReport::start_time_ms of the engine.
  std::int64_t start_time_ms = 0;
  LimitField field;
  TimePoint asked_at;
  TimePoint received_at;

  bool operator==(const EngineLimit&) const = default;
};

class RankEngineClient {
 public:
  RankEngineClient(HttpClient& client, const EngineMapCodec& codec);

  // Executes one request. `done` is called once, within twice the timeout, and
  // not after this object is destroyed. An order that is not answered within
  // the timeout has status 0 but may have been executed; the report shows
  // whether it was.
  void Execute(const Address& engine,
               const RankRequest& request,
               Duration timeout,
               std::function<void(RankReply)> done);

  // Calls the handler with each statement of an engine on its limit that comes
  // with a report, before the report's `done`.
  void SetLimitHandler(std::function<void(const EngineLimit& limit)> handler) {
    this->on_limit = std::move(handler);
  }

 private:
  using ResponseHandler = std::function<void(const HttpOutcome&)>;

  void Get(const Address& engine,
           const std::string& path,
           Duration timeout,
           ResponseHandler on_response);
  void Start(HttpCall call, ResponseHandler on_response);
  void ReadReport(const Address& engine,
                  Duration timeout,
                  RankReply reply,
                  std::function<void(RankReply)> done);
  void DecodeChoices(const Address& engine,
                     const HttpOutcome& outcome,
                     int sets,
                     RankReply& reply);

  HttpClient& client;
  const EngineMapCodec& codec;
  std::function<void(const EngineLimit& limit)> on_limit;
  // The last counters read from each engine.
  std::map<Address, RankCounts> last_counts;
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_ENGINE_CLIENT_H_
