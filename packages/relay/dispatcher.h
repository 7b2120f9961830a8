// Dispatcher: places requests at servers, and lets them wait for room or
// refuses them while a service is full.
#ifndef RELAY_DISPATCHER_H_
#define RELAY_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_loop/event_loop.h"
#include "map_change/group_registry.h"
#include "overload/fair_queue.h"
#include "relay/belief_task.h"
#include "relay/relay_settings.h"
#include "relay/server_pool.h"
#include "traffic/load_board.h"

namespace toucanhollow {

struct PlacementCallbacks {
  std::function<void(std::shared_ptr<ServerPool>)> on_placed;
  // Nothing was sent. `retry_after` is when room is expected.
  std::function<void(ResultCode code, Duration retry_after)> on_refused;
};

struct PlacementOrder {
  RequestId request;
  ServiceName service;
  AccountName account;
  double prompt_tokens = 0;
  double cost = 1;  // for fair shares
  TimePoint wait_until;
  TimePoint deadline;
  // Refused before, or a stream that has begun: goes first, and waits even
  // while the service stands.
  bool urgent = false;
  // Servers that refused or failed this request, chosen last.
  std::set<std::string> tried;
};

class Dispatcher {
 public:
  Dispatcher(EventLoop& loop, const RelaySettings& settings);
  ~Dispatcher();

  // Takes the present belief; pools of replaced and removed servers go.
  void TakeBelief(const Belief& belief);
  // Exactly one callback follows, possibly inside this call.
  void Place(PlacementOrder order, PlacementCallbacks callbacks);
  // No callback comes any more.
  void Withdraw(const RequestId& request);
  // The request's room at the server is free again.
  void Release(ServerPool& pool, int unread_tokens);

  // Nothing is sent to the ranks of a group that stands. The board is read
  // until the next call, and changes between two calls in its times and steps
  // only.
  void TakeGroups(const GroupRegistry& groups);
  // True if the server's group stands.
  bool IsStanding(const ServerPool& pool) const;
  // True if the server's group stands or begins no passes, such as one that
  // waits for a machine that does not move.
  bool MakesNoPasses(const ServerPool& pool, TimePoint now) const;
  // True if all usable servers of the service belong to groups that stand.
  bool IsStanding(const ServiceName& service) const;

  // The ranks that this host, as coordinator, sees hold up their group; ids.
  void SetSlowServers(const std::set<std::string>& servers);

  void NoteRequestFor(const ServiceName& service);
  // True if one more attempt fits the shared bound on retries.
  bool SpendRetryFor(const ServiceName& service);

  void TakeLoadReport(const std::string& host, const HostLoadReport& report);
  HostLoadReport MakeLoadReport() const;
  // Number of entry hosts that share the bounds, this one included.
  void SetHostCount(int hosts) { this->host_count = hosts; }
  std::size_t waiting_requests() const { return this->waiting.size(); }

 private:
  struct Waiting {
    PlacementOrder order;
    PlacementCallbacks callbacks;
  };
  struct ServiceState {
    FairQueue queue;
    RetryAllowance retries;
  };

  std::vector<std::shared_ptr<ServerPool>> PoolsOf(const ServiceName& service,
                                                   TimePoint now) const;
  std::shared_ptr<ServerPool> FindRoom(const PlacementOrder& order,
                                       TimePoint now);
  void Take(const std::shared_ptr<ServerPool>& pool,
            const PlacementOrder& order,
            TimePoint now);
  void Pump(const ServiceName& service);
  void PumpAll();
  void Tick();
  void StartTicking();
  Duration RetryAfter(const PlacementOrder& order, TimePoint now);
  void Refuse(const RequestId& request, ResultCode code);

  EventLoop& loop;
  const RelaySettings& settings;
  const Belief* belief = nullptr;
  std::map<std::string, std::shared_ptr<ServerPool>> pools;
  std::map<ServiceName, ServiceState> services;
  std::map<RequestId, Waiting> waiting;
  const GroupRegistry* groups = nullptr;
  std::set<GroupKey> standing_groups;
  LoadBoard board;
  std::set<std::uint32_t> slow_servers;
  int host_count = 1;
  std::uint64_t draws = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // RELAY_DISPATCHER_H_
