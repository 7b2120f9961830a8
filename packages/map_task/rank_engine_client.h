// RankEngineClient: executes a coordinator's requests at engines over HTTP.
#ifndef MAP_TASK_RANK_ENGINE_CLIENT_H_
#define MAP_TASK_RANK_ENGINE_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "map_task/engine_codec.h"
#include "map_task/rank_message.h"

namespace toucanhollow {

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
  // The last counters read from each engine.
  std::map<Address, RankCounts> last_counts;
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_ENGINE_CLIENT_H_
