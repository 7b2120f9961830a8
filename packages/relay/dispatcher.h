// Dispatcher: assigns requests to servers, and queues or refuses them while the
// service has no free server.
#ifndef RELAY_DISPATCHER_H_
#define RELAY_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "event_loop/event_loop.h"
#include "map_change/group_registry.h"
#include "overload/fair_queue.h"
#include "permit/permit_client.h"
#include "quarantine/recent_prompts.h"
#include "relay/dispatch_request.h"
#include "relay/isolation_queue.h"
#include "relay/platform_view_task.h"
#include "relay/prompt_quarantine.h"
#include "relay/relay_settings.h"
#include "relay/server_connection_pool.h"
#include "traffic/peer_load_table.h"

namespace toucanhollow {

class Dispatcher {
 public:
  Dispatcher(EventLoop& loop,
             const RelaySettings& settings,
             PermitClient& permits,
             PromptQuarantine& quarantine);
  ~Dispatcher();

  // Adopts the view, which must stay valid, and drops the connection pools of
  // servers that were replaced or removed.
  void UpdateView(const PlatformView& view);
  // Assigns the request to a server, queues it or refuses it. Exactly one
  // callback is called, possibly inside this call, unless the request is
  // withdrawn first.
  void Place(DispatchRequest dispatch_request, PlacementCallbacks callbacks);
  // Removes a request that is queued or waits for a permit; none of its
  // callbacks is called.
  void Withdraw(const RequestId& request);
  // The verdict on requests that wait may have changed.
  void OnVerdictsChanged();
  // Ends the isolation of a request, once it is known whether the server bore
  // it.
  void EndIsolation(const IsolationGrant& grant);
  // Why a placed request must not be written to its server any more; empty if
  // it may be. To be asked when the connection is established.
  std::string_view CheckWrite(const Placement& placement, TimePoint now) const;
  // Ends a request's use of the server. `pending_prompt_tokens` are those of
  // its prompt tokens that are still counted there.
  void Release(ServerConnectionPool& pool, int pending_prompt_tokens);

  // Requests are not sent to the ranks of a closed group, which executes no
  // passes. `groups` is read until the next call; between two calls only its
  // times and steps may change.
  void UpdateGroups(const GroupRegistry& groups);
  // True if the server's group is closed.
  bool IsHalted(const ServerConnectionPool& pool) const;
  // True if the server's group is closed or has started no pass of late, for
  // example because one of its machines is frozen.
  bool IsHaltedOrStalled(const ServerConnectionPool& pool, TimePoint now) const;
  // True if the service has usable servers and all of them belong to closed
  // groups.
  bool IsHalted(const ServiceName& service) const;

  // Sets the ids of the servers whose ranks slow their group down, as this host
  // measures them while it is the coordinator.
  void SetSlowServers(const std::set<std::string>& servers);

  // Records that the server refused or failed a request with a whole response,
  // which names the server `at_fault` if it is not empty. `misdirected`: the
  // status was 421.
  void RecordRefusal(ServerConnectionPool& pool,
                     bool misdirected,
                     const std::string& at_fault,
                     TimePoint now);

  // Records what the server's own answer says of its limit. Returns false if
  // that is malformed and was ignored.
  bool RecordLimit(ServerConnectionPool& pool,
                   const LimitField& field,
                   TimePoint written_at,
                   TimePoint now);
  // Records whether the server's own answer says that it leaves. Returns false
  // if that is malformed and was ignored.
  bool RecordLeaving(ServerConnectionPool& pool,
                     LeavingField field,
                     TimePoint now);
  // Records the time for which the server wants no more requests of this host,
  // also if another server is at fault. Returns false if the field is malformed
  // and was ignored.
  bool RecordQuiet(ServerConnectionPool& pool,
                   const QuietField& field,
                   TimePoint now);
  // How long no server of the service takes a request of this host, as those
  // that are usable have all asked for it; empty if one takes some, or if none
  // is usable.
  std::optional<Duration> FindQuietWait(const ServiceName& service,
                                        TimePoint now) const;
  // When callers are to return in that case.
  std::optional<Duration> FindQuietReturn(const ServiceName& service,
                                          TimePoint now);
  // Servers that name a limit.
  std::size_t CountLimitedServers() const;

  // Counts a request, which adds to the bound on retries.
  void RecordRequest(const ServiceName& service);
  // Counts a retry and returns true if the bound that all entry hosts share
  // allows one more.
  bool TryAcquireRetry(const ServiceName& service);

  void UpdatePeerLoad(const std::string& host, const HostLoadReport& report);
  HostLoadReport MakeLoadReport(TimePoint now) const;
  // Increases when an answer to this host changes what is known of a server's
  // limit.
  std::uint64_t own_limit_changes() const { return this->limit_changes; }
  // Sets the number of entry hosts that share the bound on retries, this one
  // included; empty while it is not known.
  void SetHostCount(std::optional<int> hosts);
  // Sets IssuingGeneration of this host.
  void SetIssuerGeneration(StorePosition generation) {
    this->issuer_generation = generation;
  }
  // True if another host announces in a current report that it is the issuer.
  bool HearsIssuer(TimePoint now) const;
  std::size_t waiting_requests() const {
    return this->waiting.size() + this->isolation.size();
  }

 private:
  // A request that waits for a permit.
  struct PermitWait {
    WaitingRequest request;
    std::shared_ptr<ServerConnectionPool> pool;
    Address issuer;            // that was asked
    std::uint64_t serial = 0;  // of the call to it
    // The parts that the request tests, if it is isolated.
    std::vector<PartId> tested_parts;
  };
  struct ServiceState {
    FairQueue queue;
    RetryAllowance retries;
  };

  // `is_own`: the statement is from an answer to this host, else from a peer.
  void MergeLimit(ServerConnectionPool& pool,
                  const ServerLimit& statement,
                  bool is_own);
  // What this host has learned of limits from its own answers.
  std::vector<ReportedLimit> ListOwnLimits(TimePoint now) const;
  // A pseudo-random number, different at each call and host.
  std::uint64_t Draw();
  std::vector<std::shared_ptr<ServerConnectionPool>> FindUsablePools(
      const ServiceName& service,
      TimePoint now) const;
  std::shared_ptr<ServerConnectionPool> FindServer(
      const DispatchRequest& dispatch_request,
      TimePoint now);
  PromptJudgement Judge(const DispatchRequest& dispatch_request, TimePoint now);
  // Refuses the request or has it isolated if its prompt demands that, and
  // returns true; else returns false and leaves the request.
  bool HandleSuspect(WaitingRequest& request, TimePoint now);
  // The server that tests a part of a prompt; null while it cannot.
  std::shared_ptr<ServerConnectionPool> FindCanary(const ServiceName& service,
                                                   PartId part,
                                                   TimePoint now) const;
  // The process that gives permits for the server: its agent, or the issuing
  // entry host if it has none. A host that knows no issuer asks itself.
  Address FindIssuer(const Service& service,
                     const ListedServer& server,
                     TimePoint now) const;
  // True for servers of services with a cold phase and for those that name a
  // limit.
  bool NeedsPermit(const ServerConnectionPool& pool) const;
  // Assigns the request to the server, after asking for a permit if the server
  // needs one.
  void Assign(const std::shared_ptr<ServerConnectionPool>& pool,
              WaitingRequest request,
              TimePoint now);
  void AskForPermit(const std::shared_ptr<ServerConnectionPool>& pool,
                    WaitingRequest request,
                    const std::vector<PartId>& tested_parts,
                    TimePoint now);
  // Places a request whose prompt need not be isolated.
  void PlaceNow(WaitingRequest request, TimePoint now);
  void OnPermit(const RequestId& request, const PermitAnswer& answer);
  void OnIsolationPermit(PermitWait wait,
                         const PermitAnswer& answer,
                         TimePoint now);
  void RecordPermitAnswer(const PermitWait& wait,
                          const PermitAnswer& answer,
                          TimePoint now);
  // False if the server was removed, replaced, evacuated or halted, or began to
  // drain or to leave, or asked for no requests, since it was chosen.
  bool IsCurrent(const ServerConnectionPool& pool, TimePoint now) const;
  // Queues the request, at the head if it was there before, or refuses it.
  void EnqueueOrRefuse(WaitingRequest request, TimePoint now);
  void DispatchQueued(const ServiceName& service);
  void DispatchAllQueued();
  void OnTimer();
  void StartTimer();
  // True if the request cannot be placed in the time that it may wait.
  bool IsQuietTooLong(const DispatchRequest& dispatch_request,
                      TimePoint now) const;
  // Refuses the queued requests of the service for which that holds.
  void RefuseForQuiet(const ServiceName& service, TimePoint now);
  Duration EstimateRetryAfter(const DispatchRequest& dispatch_request,
                              TimePoint now);
  void Refuse(const WaitingRequest& request, ResultCode code);
  void RefuseQueued(const RequestId& request, ResultCode code);

  EventLoop& loop;
  const RelaySettings& settings;
  PermitClient& permits;
  PromptQuarantine& quarantine;
  const PlatformView* view = nullptr;
  std::map<std::string, std::shared_ptr<ServerConnectionPool>> pools;
  std::map<ServiceName, ServiceState> services;
  std::map<RequestId, WaitingRequest> waiting;
  std::map<RequestId, PermitWait> permit_waits;
  RecentPrompts recent_prompts;
  IsolationQueue isolation;
  const GroupRegistry* groups = nullptr;
  std::set<GroupKey> closed_groups;
  PeerLoadTable peer_loads;
  std::set<std::uint32_t> slow_servers;
  std::optional<int> host_count;
  StorePosition issuer_generation;
  std::uint64_t limit_changes = 0;
  std::uint64_t next_seed = 0;
  std::unique_ptr<Timer> timer;
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // RELAY_DISPATCHER_H_
