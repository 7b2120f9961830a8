// The endpoint agent: the only process that sends work to its engine or
// service, and the only one that decides what it bears.
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

  // Opens the sockets. Fails with kSettingsInvalid.
  Result<bool> Start();
  // Tells the entry hosts, refuses new work, finishes what runs, then calls
  // `drained`.
  void Shutdown(std::function<void()> drained);

 private:
  struct Run;
  struct Peer;

  SessionEvents OnAccepted(std::shared_ptr<Session> session);
  void OnMessage(const std::shared_ptr<Peer>& peer, Message message);
  void OnPeerClosed(const std::shared_ptr<Peer>& peer);
  void OnDispatch(const std::shared_ptr<Peer>& peer, Dispatch dispatch);
  void OnCancel(const DispatchId& dispatch_id);
  void Begin(Run& run);
  void StartBackEnd(Run& run);
  void OnKeptAnswer(const DispatchId& id, const ResultRecord& result);
  void OnClaimRefused(const DispatchId& id, ResultCode code);
  void FreeUnrunSlot(const DispatchId& id);
  void MakeBackEnd();
  Result<bool> ListenHttp();
  void SetGauges();
  void OnConfigChanged(const ConfigView& view);
  void StepDrain();
  void ReadHosts();
  void SetLeavingNow();
  void OnPiece(const DispatchId& id,
               std::uint64_t index,
               std::string_view text);
  void OnEnded(const DispatchId& id, const BackEndEnd& end);
  void CancelRun(const DispatchId& id);
  void Answer(const Run& run, const Message& message);
  void Refuse(const Run& run, ResultCode code, const std::string& detail);
  void StartWaiting();
  void ReadLoad();
  void SendGrants();
  void SendHeartbeats();
  void ReportFreeSlot();
  Heartbeat MakeHeartbeat() const;
  void OnTick();
  Event MakeEvent(const Run& run, EventKind kind) const;

  ProcessContext& context;
  HttpClient client;
  PlatformLog log;
  // One of the two, by the kind of back end.
  std::unique_ptr<EngineClient> engine;
  std::unique_ptr<ServiceClient> service;
  BackEnd back_end;
  AdmissionState admission;
  std::unique_ptr<ConfigTask> config;
  // Only for plain services.
  std::unique_ptr<ClaimTask> claims;
  // Only for engines that hold ranks of a group.
  std::unique_ptr<MapTask> maps;
  bool map_mismatch = false;
  AgentDrain drain;
  std::unique_ptr<SessionListener> listener;
  std::unique_ptr<HttpServer> http;
  std::set<std::shared_ptr<Peer>> peers;
  std::map<DispatchId, std::unique_ptr<Run>> runs;
  std::unique_ptr<Timer> load_timer;
  std::unique_ptr<Timer> host_list_timer;
  std::unique_ptr<Timer> tick;
  std::unique_ptr<Timer> grant_timer;
  bool reading_load = false;
  // A dispatch was refused for want of a slot since the last heartbeat; its
  // sender counts this endpoint as full until the next one.
  bool refused_full = false;
  std::unique_ptr<Timer> free_slot_timer;
  std::function<void()> drained;
  TimePoint shutdown_at;
};

}  // namespace toucanhollow

#endif  // AGENT_ENDPOINT_AGENT_H_
