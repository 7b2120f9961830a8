// RankCalls: sends requests to ranks of a group and collects their answers
// within a short time.
//
// Requests go to the agents as datagrams: one exchange costs the coordinator a
// tenth of an HTTP call, and a group has up to a hundred ranks. A lost datagram
// is sent again; an agent executes each request once.
#ifndef MAP_TASK_RANK_CALLS_H_
#define MAP_TASK_RANK_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "datagram/datagram_socket.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "map_task/engine_codec.h"
#include "map_task/rank_engine_client.h"
#include "map_task/rank_message.h"

namespace toucanhollow {

// The server of a rank, and the addresses of its agent and engine.
struct RankAddress {
  std::string server;
  Address agent;
  Address engine;

  bool operator==(const RankAddress&) const = default;
};

struct RankCall {
  RankAddress rank;
  RankRequest request;
};

struct RankAnswer {
  std::string server;
  // Status 0 if no answer came.
  RankReply reply;
  // The reply is the agent's, perhaps without what its engine did not answer.
  bool agent_answered = false;
};

class RankCalls {
 public:
  using Done = std::function<void(std::vector<RankAnswer>)>;

  RankCalls(EventLoop& loop, HttpClient& client, const EngineMapCodec& codec);
  ~RankCalls();

  // Opens the UDP socket. Fails with kSettingsInvalid.
  Result<bool> Open(const Address& local);

  // Starts the calls. If `fall_back_to_engine` is set, engines whose agents do
  // not answer are called directly. `done` is called once, with one answer per
  // call in the order of the calls.
  void Start(const std::vector<RankCall>& calls,
             bool fall_back_to_engine,
             Done done);

 private:
  struct Batch;
  // A request to an agent that has not been answered.
  struct Pending {
    std::shared_ptr<Batch> batch;
    std::size_t index = 0;
    Address agent;
    std::string bytes;
  };

  void OnDatagram(const Address& from, std::string_view bytes);
  void OnTimer(const std::shared_ptr<Batch>& batch);
  void HandleUnanswered(const std::shared_ptr<Batch>& batch);
  void CallEngine(const std::shared_ptr<Batch>& batch, std::size_t index);
  void Finish(const std::shared_ptr<Batch>& batch,
              std::size_t index,
              RankReply reply);

  EventLoop& loop;
  RankEngineClient engine;
  std::uint64_t next_serial;
  std::unique_ptr<DatagramSocket> socket;
  // By serial number.
  std::map<std::uint64_t, Pending> pending;
  // Agents that did not answer, and until when they are not called.
  std::map<Address, TimePoint> unavailable_agents;
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_CALLS_H_
