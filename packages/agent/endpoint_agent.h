// The endpoint agent: the only process that sends work to its engine or
// service, and the only one that decides how much work it admits.
#ifndef AGENT_ENDPOINT_AGENT_H_
#define AGENT_ENDPOINT_AGENT_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "admission/admission_state.h"
#include "agent/back_end.h"
#include "agent/claim_task.h"
#include "agent/map_task.h"
#include "base/result.h"
#include "config_follow/config_task.h"
#include "engine_api/engine_client.h"
#include "http_client/http_client.h"
#include "http_server/http_server.h"
#include "membership/drain.h"
#include "platform_log/platform_log.h"
#include "service_api/service_client.h"
#include "session/process_context.h"
#include "session/session.h"

namespace toucanhollow {

class EndpointAgent {
 public:
  explicit EndpointAgent(ProcessContext& context);
  ~EndpointAgent();

  // Opens the sockets. Fails with kSettingsInvalid if an address cannot be
  // bound.
  Result<bool> Start();
  // Reports to the entry hosts that the endpoint leaves, refuses new work,
  // waits for running work up to the drain timeout, then calls
  // `drained_handler`.
  void Shutdown(std::function<void()> drained_handler);

 private:
  struct Run;
  struct Peer;

  SessionEvents OnAccepted(std::shared_ptr<Session> session);
  void OnMessage(const std::shared_ptr<Peer>& peer, Message message);
  void OnPeerClosed(const std::shared_ptr<Peer>& peer);
  void OnDispatch(const std::shared_ptr<Peer>& peer, Dispatch dispatch);
  void OnCancel(const DispatchId& dispatch_id);
  void StartRun(Run& run);
  void StartBackEnd(Run& run);
  void OnStoredAnswer(const DispatchId& id, const ResultRecord& result);
  void OnClaimRefused(const DispatchId& id, ResultCode code);
  void EndUnrunDispatch(const DispatchId& id);
  void MakeBackEnd();
  Result<bool> ListenHttp();
  void SetGauges();
  void OnConfigChanged(const ConfigView& view);
  void AdvanceDrain();
  void ReadHosts();
  void ApplyLeaving();
  void OnPiece(const DispatchId& id,
               std::uint64_t index,
               std::string_view text);
  void OnEnded(const DispatchId& id, const BackEndOutcome& outcome);
  void CancelRun(const DispatchId& id);
  void SendReply(const Run& run, const Message& message);
  void Refuse(const Run& run, ResultCode code, const std::string& detail);
  void ProcessWaiting();
  void ReadLoad();
  void ReadCacheEvents();
  void SendGrants();
  void SendHeartbeats();
  void ScheduleFreeSlotReport();
  Heartbeat MakeHeartbeat() const;
  void OnTick();
  Event MakeEvent(const Run& run, EventKind kind) const;

  ProcessContext& context;
  HttpClient client;
  PlatformLog log;
  // Exactly one of the two is set, depending on the kind of back end.
  std::unique_ptr<EngineClient> engine;
  std::unique_ptr<ServiceClient> service;
  BackEnd back_end;
  AdmissionState admission;
  std::unique_ptr<ConfigTask> config;
  // Set only for plain services.
  std::unique_ptr<ClaimTask> claims;
  // Set only for engines that hold ranks of a model group.
  std::unique_ptr<MapTask> maps;
  bool map_mismatch = false;
  AgentDrain drain;
  std::unique_ptr<SessionListener> listener;
  std::unique_ptr<HttpServer> http;
  std::set<std::shared_ptr<Peer>> peers;
  std::map<DispatchId, std::unique_ptr<Run>> runs;
  std::unique_ptr<Timer> load_timer;
  std::unique_ptr<Timer> host_list_timer;
  std::unique_ptr<Timer> tick_timer;
  std::unique_ptr<Timer> grant_timer;
  bool reading_load = false;
  bool reading_cache = false;
  std::int64_t next_cache_event = 0;
  std::uint64_t last_engine_incarnation = 0;
  std::unique_ptr<Timer> cache_timer;
  // Set when a dispatch is refused because no slot is free, and cleared by the
  // next report of a free slot. The sender of the dispatch counts this endpoint
  // as full until its next heartbeat.
  bool refused_full = false;
  std::unique_ptr<Timer> free_slot_timer;
  std::function<void()> on_drained;
  TimePoint shutdown_started_at;
};

}  // namespace toucanhollow

#endif  // AGENT_ENDPOINT_AGENT_H_
