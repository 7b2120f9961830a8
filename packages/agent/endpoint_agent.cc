#include "agent/endpoint_agent.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/admit.h"
#include "admission/grants.h"
#include "admission/health.h"
#include "admission/limit.h"
#include "admission/service_state.h"
#include "agent/engine_back_end.h"
#include "agent/service_back_end.h"
#include "engine_api/engine_codec.h"
#include "host_list/host_list.h"
#include "log_text/log.h"
#include "operator_api/operator_api.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

constexpr Duration kLoadReadInterval = Milliseconds(250);
constexpr Duration kTickInterval = Milliseconds(50);
// Engines publish cache events with a lag, so faster polling gains little.
constexpr Duration kCacheEventInterval = Milliseconds(500);
constexpr Duration kGrantInterval = Seconds(1);
// The host list lags and only supplements what the links report.
constexpr Duration kHostListInterval = Seconds(2);
// Delay between the first slot that becomes free after a refusal and the
// heartbeats that report free slots, so that one round reports several.
constexpr Duration kFreeSlotDelay = Milliseconds(20);

}  // namespace

struct EndpointAgent::Peer {
  std::shared_ptr<Session> session;
  ProcessName name;
  // Number of dispatches admitted since grants were last issued.
  int demand = 0;
  // Dispatches whose outcome could not be sent because the send queue was
  // full.
  std::vector<DispatchId> unreported_dispatches;
};

struct EndpointAgent::Run {
  Dispatch dispatch;
  std::weak_ptr<Peer> peer;
  bool back_end_started = false;
  TimePoint started_at;
  TimePoint first_piece_at;
  TimePoint last_piece_at;
  std::uint64_t piece_count = 0;
  // Whether the call has an idempotency key that is claimed in the log before
  // it runs. `body` then collects the answer that is appended as its result.
  bool keyed = false;
  std::string body;
};

EndpointAgent::EndpointAgent(ProcessContext& process_context)
    : context(process_context),
      client(process_context.loop),
      log(this->client,
          PlatformLogOptions{
              FormatAddress(process_context.settings.platform_log)}) {}

EndpointAgent::~EndpointAgent() = default;

Event EndpointAgent::MakeEvent(const Run& run, EventKind kind) const {
  Event event;
  event.kind = kind;
  event.request = run.dispatch.request_id;
  event.dispatch = run.dispatch.dispatch_id;
  event.endpoint = this->context.settings.back_end->endpoint;
  return event;
}

Heartbeat EndpointAgent::MakeHeartbeat() const {
  const AdmissionSummary summary =
      SummarizeAdmission(this->admission, EventLoop::Now());
  Heartbeat heartbeat;
  heartbeat.time = EventLoop::WallNow();
  heartbeat.config_offset = this->config->Offset();
  heartbeat.leaving = IsLeaving(this->drain);
  heartbeat.limit = summary.limit;
  heartbeat.full_limit = summary.full_limit;
  heartbeat.in_flight = summary.in_flight;
  heartbeat.queued = summary.waiting;
  heartbeat.granted = CountGrantedSlots(this->admission);
  heartbeat.warm = summary.warm;
  heartbeat.takes_work = summary.takes_work;
  heartbeat.step_time = summary.step;
  heartbeat.mean_service = summary.mean_service;
  return heartbeat;
}

void EndpointAgent::MakeBackEnd() {
  const BackEndSettings& settings = *this->context.settings.back_end;
  AdmissionParameters parameters;
  if (settings.kind == BackEndKind::kEngine) {
    EngineClientOptions options;
    options.address = FormatAddress(settings.address);
    this->engine =
        std::make_unique<EngineClient>(this->client, std::move(options));
    this->back_end = MakeEngineBackEnd(*this->engine);
    if (!settings.ranks.empty()) {
      this->maps = std::make_unique<MapTask>(
          this->context, this->log, *this->engine, [this](bool mismatch) {
            this->map_mismatch = mismatch;
            this->OnConfigChanged(this->config->View());
          });
    }
  } else {
    parameters.reports_load = false;
    parameters.first_token_target = Duration(0);
    parameters.step_target = Duration(0);
    ServiceClientOptions options;
    options.address = FormatAddress(settings.address);
    this->service =
        std::make_unique<ServiceClient>(this->client, std::move(options));
    this->back_end = MakeServiceBackEnd(*this->service);
    this->claims = std::make_unique<ClaimTask>(
        this->context, this->log,
        ClaimTaskCallbacks{
            [this](const DispatchId& id) {
              const auto found = this->runs.find(id);
              if (found != this->runs.end()) {
                this->context.Record(
                    this->MakeEvent(*found->second, EventKind::kClaimed));
                this->StartBackEnd(*found->second);
              }
            },
            [this](const DispatchId& id, const ResultRecord& result) {
              this->OnStoredAnswer(id, result);
            },
            [this](const DispatchId& id, ResultCode code) {
              this->OnClaimRefused(id, code);
            }});
  }
  this->admission = MakeAdmissionState(parameters, this->context.incarnation,
                                       EventLoop::Now());
  // The endpoint takes no work until the configuration puts it in service.
  this->admission = SetEndpointOut(std::move(this->admission), true);
}

void EndpointAgent::OnConfigChanged(const ConfigView& view) {
  const TimePoint now = EventLoop::Now();
  const BackEndSettings& settings = *this->context.settings.back_end;
  const auto endpoint = view.endpoints.find(settings.endpoint);
  const auto data_centre =
      view.data_centres.find(this->context.settings.data_centre);
  const bool is_configured = view.ready && endpoint != view.endpoints.end();
  this->admission =
      SetDataCentreOut(std::move(this->admission),
                       data_centre == view.data_centres.end() ||
                           !data_centre->second.content.in_service,
                       now);
  this->admission =
      SetEndpointOut(std::move(this->admission),
                     !is_configured || !endpoint->second.content.in_service ||
                         this->map_mismatch);
  if (is_configured) {
    AdmissionParameters parameters = this->admission.parameters;
    parameters.full_limit = endpoint->second.full_limit;
    this->admission = SetParameters(std::move(this->admission), parameters);
  }
  const auto service = view.services.find(settings.service);
  if (this->maps && service != view.services.end() && service->second.group) {
    const ModelGroupContent& group = *service->second.group;
    this->maps->SetShape(
        {settings.service, group.ranks, group.experts, SlotsPerRank(group)});
  }
  if (this->claims) {
    this->claims->SetWriterCount(static_cast<int>(
        std::ranges::count_if(view.endpoints, [&](const auto& entry) {
          const auto writer = view.services.find(entry.second.content.service);
          return writer != view.services.end() &&
                 writer->second.plain.has_value();
        })));
  }
  this->ProcessWaiting();
  this->SendHeartbeats();
}

Result<bool> EndpointAgent::Start() {
  const Settings& settings = this->context.settings;
  this->MakeBackEnd();
  this->config = std::make_unique<ConfigTask>(
      this->context, this->log,
      [this](const ConfigView& view) { this->OnConfigChanged(view); });

  LocalMessages self;
  self.hello = [this] {
    Hello hello;
    hello.role = "endpoint";
    hello.config_offset = this->config->Offset();
    hello.endpoint = this->context.settings.back_end->endpoint;
    hello.service = this->context.settings.back_end->service;
    return hello;
  };
  self.heartbeat = [this] { return this->MakeHeartbeat(); };
  this->listener = std::make_unique<SessionListener>(
      this->context, settings.link, self,
      [this](std::shared_ptr<Session> session) {
        return this->OnAccepted(std::move(session));
      });
  if (!this->listener->Error().empty()) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "[listen] link is " + FormatAddress(settings.link) +
                           ": " + this->listener->Error() +
                           "; use a free address of this host");
  }
  Result<bool> http_started = this->ListenHttp();
  if (!http_started) {
    return http_started;
  }
  this->load_timer =
      std::make_unique<Timer>(this->context.loop, Duration(0),
                              kLoadReadInterval, [this] { this->ReadLoad(); });
  if (this->engine) {
    this->cache_timer = std::make_unique<Timer>(
        this->context.loop, kCacheEventInterval, kCacheEventInterval,
        [this] { this->ReadCacheEvents(); });
  }
  if (settings.host_list) {
    this->host_list_timer = std::make_unique<Timer>(
        this->context.loop, Duration(0), kHostListInterval,
        [this] { this->ReadHosts(); });
  }
  this->tick_timer =
      std::make_unique<Timer>(this->context.loop, kTickInterval, kTickInterval,
                              [this] { this->OnTick(); });
  this->grant_timer =
      std::make_unique<Timer>(this->context.loop, kGrantInterval,
                              kGrantInterval, [this] { this->SendGrants(); });
  Log(Severity::kInfo, "agent",
      "serving links on " + settings.link.ip + ":" +
          std::to_string(this->listener->Port()) + ", HTTP on port " +
          std::to_string(this->http->Port()));
  return true;
}

Result<bool> EndpointAgent::ListenHttp() {
  const Settings& settings = this->context.settings;
  HttpServerOptions options;
  options.address = settings.http.ip;
  options.port = settings.http.port;
  options.receive_bytes = kSmallReceiveBytes;
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
      this->context.loop, options,
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        if (request.path == "/metrics") {
          this->SetGauges();
        }
        const bool ready = !IsLeaving(this->drain) &&
                           this->config->View().ready &&
                           IsReady(this->admission, EventLoop::Now());
        if (!HandleOperatorRequest(this->context, ready, request, *writer)) {
          writer->Respond(404, {}, "");
        }
      });
  if (!server) {
    return server.error();
  }
  this->http = std::move(server).value();
  return true;
}

void EndpointAgent::SetGauges() {
  const AdmissionSummary summary =
      SummarizeAdmission(this->admission, EventLoop::Now());
  Metrics& metrics = this->context.metrics;
  metrics.SetGauge("config_offset",
                   static_cast<double>(this->config->Offset()));
  metrics.SetGauge("limit", summary.limit);
  metrics.SetGauge("full_limit", summary.full_limit);
  metrics.SetGauge("in_flight", summary.in_flight);
  metrics.SetGauge("waiting", summary.waiting);
  metrics.SetGauge("warm", summary.warm ? 1 : 0);
  metrics.SetGauge("takes_work", summary.takes_work ? 1 : 0);
}

SessionEvents EndpointAgent::OnAccepted(std::shared_ptr<Session> session) {
  const auto peer = std::make_shared<Peer>();
  peer->session = std::move(session);
  this->peers.insert(peer);
  const std::weak_ptr<Peer> weak = peer;
  return SessionEvents{[weak](const Hello& hello) {
                         if (const auto strong = weak.lock()) {
                           strong->name = hello.process;
                         }
                       },
                       [this, weak](Message message) {
                         if (const auto strong = weak.lock()) {
                           this->OnMessage(strong, std::move(message));
                         }
                       },
                       [this, weak](const Failure&) {
                         if (const auto strong = weak.lock()) {
                           this->OnPeerClosed(strong);
                         }
                       }};
}

void EndpointAgent::OnMessage(const std::shared_ptr<Peer>& peer,
                              Message message) {
  if (auto* dispatch = std::get_if<Dispatch>(&message)) {
    this->OnDispatch(peer, std::move(*dispatch));
  } else if (const auto* cancel = std::get_if<Cancel>(&message)) {
    this->OnCancel(cancel->dispatch_id);
  } else {
    this->config->OnPeerMessage(
        message, [&peer](const Message& reply) { peer->session->Send(reply); });
  }
}

void EndpointAgent::OnPeerClosed(const std::shared_ptr<Peer>& peer) {
  this->peers.erase(peer);
  std::vector<DispatchId> orphans;
  for (const auto& [id, run] : this->runs) {
    // A non-repeatable run continues to its end, because its result is stored.
    if (run->peer.lock() == peer && run->dispatch.repeatable) {
      orphans.push_back(id);
    }
  }
  for (const DispatchId& id : orphans) {
    this->CancelRun(id);
  }
}

void EndpointAgent::OnDispatch(const std::shared_ptr<Peer>& peer,
                               Dispatch dispatch) {
  AdmissionRequest request;
  request.dispatch = dispatch.dispatch_id;
  request.receiver = dispatch.receiver;
  request.sender = peer->name;
  if (dispatch.remaining > Duration(0)) {
    request.remaining_deadline = dispatch.remaining;
  }
  AdmissionDecision decision =
      Admit(std::move(this->admission), request, EventLoop::Now());
  this->admission = std::move(decision.state);
  auto run = std::make_unique<Run>();
  run->dispatch = std::move(dispatch);
  run->peer = peer;
  this->context.Record(this->MakeEvent(*run, EventKind::kDispatchReceived));
  if (decision.verdict == AdmissionVerdict::kRefused) {
    // The first copy of a duplicate may be running. The sender could take a
    // refusal of the second copy for the outcome of the first.
    if (decision.code != ResultCode::kDuplicateDispatch) {
      this->Refuse(*run, decision.code, "");
    }
    return;
  }
  ++peer->demand;
  Run& stored = *this->runs.emplace(run->dispatch.dispatch_id, std::move(run))
                     .first->second;
  if (decision.verdict == AdmissionVerdict::kRun) {
    this->StartRun(stored);
  }
}

// Starts the run of a dispatch that holds a slot.
void EndpointAgent::StartRun(Run& run) {
  const DispatchId id = run.dispatch.dispatch_id;
  run.keyed = this->claims && !run.dispatch.repeatable &&
              !run.dispatch.idempotency_key.empty();
  if (!run.keyed) {
    this->StartBackEnd(run);
    return;
  }
  const Result<bool> received = this->claims->Receive(run.dispatch);
  if (!received) {
    this->Refuse(run, received.error().code, received.error().detail);
    this->EndUnrunDispatch(id);
  }
}

void EndpointAgent::StartBackEnd(Run& run) {
  run.back_end_started = true;
  run.started_at = EventLoop::Now();
  this->context.Record(this->MakeEvent(run, EventKind::kRunStarted));
  const DispatchId id = run.dispatch.dispatch_id;
  this->back_end.start(
      run.dispatch,
      BackEndCallbacks{[this, id](std::uint64_t index, std::string_view text) {
                         this->OnPiece(id, index, text);
                       },
                       [this, id](const BackEndOutcome& outcome) {
                         this->OnEnded(id, outcome);
                       }});
  this->SendReply(run, Accepted{id});
}

// Ends a dispatch that holds a slot but was not run, and frees the slot.
void EndpointAgent::EndUnrunDispatch(const DispatchId& id) {
  CompletionSample sample;
  sample.dispatch = id;
  sample.outcome = CompletionOutcome::kNotRun;
  this->admission =
      RecordCompletion(std::move(this->admission), sample, EventLoop::Now());
  // A caller further up the stack may still use the run.
  Post(this->context.loop, [this, id] {
    this->runs.erase(id);
    this->ProcessWaiting();
  });
}

void EndpointAgent::OnStoredAnswer(const DispatchId& id,
                                   const ResultRecord& result) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  Event event = this->MakeEvent(*found->second, EventKind::kRunEnded);
  event.code = static_cast<int>(ResultCode::kAnswered);
  event.detail = "answered from the stored result of an earlier run";
  this->context.Record(std::move(event));
  this->SendReply(*found->second, Token{id, 0, result.body});
  this->SendReply(*found->second, Done{id, 1, result.http_status, "", ""});
  this->EndUnrunDispatch(id);
}

void EndpointAgent::OnClaimRefused(const DispatchId& id, ResultCode code) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  if (IsCertainlyNotRun(code)) {
    this->Refuse(*found->second, code, "");
  } else {
    this->SendReply(*found->second, OutcomeUnknown{id, code, ""});
  }
  this->EndUnrunDispatch(id);
}

void EndpointAgent::SendReply(const Run& run, const Message& message) {
  const auto peer = run.peer.lock();
  if (peer && !peer->session->Send(message)) {
    peer->unreported_dispatches.push_back(run.dispatch.dispatch_id);
  }
}

void EndpointAgent::Refuse(const Run& run,
                           ResultCode code,
                           const std::string& detail) {
  this->refused_full = this->refused_full || code == ResultCode::kEndpointFull;
  Event event = this->MakeEvent(run, EventKind::kRefused);
  event.code = static_cast<int>(code);
  this->context.Record(std::move(event));
  this->context.metrics.Count(
      "dispatches_refused",
      "code=\"" + std::to_string(static_cast<int>(code)) + "\"");
  this->SendReply(run, Refused{run.dispatch.dispatch_id, code,
                               IsCertainlyNotRun(code), detail});
}

void EndpointAgent::OnPiece(const DispatchId& id,
                            std::uint64_t index,
                            std::string_view text) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = *found->second;
  run.last_piece_at = EventLoop::Now();
  if (run.piece_count++ == 0) {
    run.first_piece_at = run.last_piece_at;
    this->context.Record(this->MakeEvent(run, EventKind::kFirstToken));
  }
  if (run.keyed) {
    run.body += text;
  }
  const auto peer = run.peer.lock();
  if (peer && !peer->session->Send(Token{id, index, std::string(text)})) {
    // A stream with a missing token is useless, so the attempt ends.
    this->context.metrics.Count("streams_closed_by_full_queue");
    peer->unreported_dispatches.push_back(id);
    if (!run.keyed) {
      Post(this->context.loop, [this, id] { this->CancelRun(id); });
    }
  }
}

void EndpointAgent::OnEnded(const DispatchId& id,
                            const BackEndOutcome& outcome) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  const std::unique_ptr<Run> run = std::move(found->second);
  this->runs.erase(found);
  const TimePoint now = EventLoop::Now();
  CompletionSample sample;
  sample.dispatch = id;
  sample.first_token =
      (run->piece_count > 0 ? run->first_piece_at : now) - run->started_at;
  if (run->piece_count > 1) {
    sample.step = (run->last_piece_at - run->first_piece_at) /
                  static_cast<std::int64_t>(run->piece_count - 1);
  }
  Event event = this->MakeEvent(*run, EventKind::kRunEnded);
  event.code = static_cast<int>(outcome.failure.code);
  event.detail = outcome.failure.detail;
  this->context.Record(std::move(event));
  if (run->keyed) {
    const RunEnd run_end = outcome.kind == BackEndOutcome::Kind::kComplete
                               ? RunEnd::kAnswered
                               : (outcome.kind == BackEndOutcome::Kind::kNotRun
                                      ? RunEnd::kNotRun
                                      : RunEnd::kUnknown);
    this->claims->HandleRunEnd(id, run_end, outcome.status,
                               std::move(run->body));
  }
  switch (outcome.kind) {
    case BackEndOutcome::Kind::kComplete:
      sample.outcome = CompletionOutcome::kAnswered;
      this->SendReply(*run, Done{id, outcome.count, outcome.status,
                                 outcome.content_type, outcome.finish_reason});
      break;
    case BackEndOutcome::Kind::kNotRun:
      sample.outcome = outcome.failure.code == ResultCode::kEngineRefused
                           ? CompletionOutcome::kEngineRefused
                           : CompletionOutcome::kError;
      this->SendReply(*run, Refused{id, ResultCode::kNoEndpointAvailable, true,
                                    FormatFailure(outcome.failure)});
      break;
    case BackEndOutcome::Kind::kUnknown:
      sample.outcome = CompletionOutcome::kError;
      this->SendReply(*run, OutcomeUnknown{id, ResultCode::kOutcomeUnknown,
                                           FormatFailure(outcome.failure)});
      break;
  }
  this->admission = RecordCompletion(std::move(this->admission), sample, now);
  this->ProcessWaiting();
  this->ScheduleFreeSlotReport();
}

void EndpointAgent::OnCancel(const DispatchId& dispatch_id) {
  const auto found = this->runs.find(dispatch_id);
  if (found != this->runs.end() && (found->second->dispatch.repeatable ||
                                    !found->second->back_end_started)) {
    this->CancelRun(dispatch_id);
  }
}

void EndpointAgent::CancelRun(const DispatchId& id) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  this->context.Record(this->MakeEvent(*found->second, EventKind::kCancelled));
  if (!found->second->back_end_started && found->second->keyed) {
    this->claims->Cancel(id);
    this->EndUnrunDispatch(id);
    return;
  }
  if (found->second->back_end_started) {
    this->back_end.cancel(id);
    CompletionSample sample;
    sample.dispatch = id;
    sample.outcome = CompletionOutcome::kCancelled;
    this->admission =
        RecordCompletion(std::move(this->admission), sample, EventLoop::Now());
  } else {
    this->admission = WithdrawWaiting(std::move(this->admission), id).state;
  }
  this->runs.erase(found);
  this->ProcessWaiting();
}

void EndpointAgent::ProcessWaiting() {
  if (this->admission.waiting.empty()) {
    return;
  }
  WaitingDecision decision =
      StartOrRefuseWaiting(std::move(this->admission), EventLoop::Now());
  this->admission = std::move(decision.state);
  for (const DispatchId& id : decision.started) {
    const auto found = this->runs.find(id);
    if (found != this->runs.end()) {
      this->StartRun(*found->second);
    }
  }
  for (const RefusedDispatch& refused : decision.refused) {
    const auto found = this->runs.find(refused.dispatch);
    if (found != this->runs.end()) {
      this->Refuse(*found->second, refused.code, "");
      this->runs.erase(found);
    }
  }
}

void EndpointAgent::ReadLoad() {
  if (this->reading_load || !this->engine) {
    return;
  }
  this->reading_load = true;
  this->engine->ReadStatus([this](const Result<EngineStatus>& status) {
    this->reading_load = false;
    if (!status) {
      this->context.metrics.Count("load_reports_failed");
      return;
    }
    if (this->maps) {
      this->maps->OnStatus(status.value());
    }
    EngineReport report;
    report.engine = Incarnation{status.value().incarnation};
    report.running =
        static_cast<int>(status.value().running + status.value().queued);
    report.step = status.value().step_time;
    const bool was_known = this->admission.orphaned_requests_known;
    this->admission = RecordEngineReport(std::move(this->admission), report,
                                         EventLoop::Now());
    if (!was_known) {
      this->SendHeartbeats();
    }
  });
}

// Forwards the engine's cache events unchanged to the entry hosts.
void EndpointAgent::ReadCacheEvents() {
  if (std::exchange(this->reading_cache, true)) {
    return;
  }
  this->engine->ReadCacheEvents(
      this->next_cache_event, [this](const Result<EngineCacheEvents>& read) {
        this->reading_cache = false;
        if (!read) {
          return;
        }
        if (std::exchange(this->last_engine_incarnation,
                          read.value().incarnation) !=
                read.value().incarnation &&
            this->next_cache_event != 0) {
          // A restarted engine numbers its events from the beginning.
          this->next_cache_event = 0;
          return;
        }
        this->next_cache_event = read.value().next;
        if (read.value().events.empty()) {
          return;
        }
        const CacheNotice notice{this->context.settings.back_end->endpoint,
                                 EncodeCacheEvents(read.value())};
        for (const auto& peer : this->peers) {
          // A notice lost to a full queue makes routing less efficient but
          // breaks nothing.
          peer->session->Send(notice);
        }
      });
}

void EndpointAgent::SendGrants() {
  std::vector<GrantDemand> demand;
  for (const auto& peer : this->peers) {
    if (peer->session->Peer()) {
      demand.push_back({peer->name, std::exchange(peer->demand, 0)});
    }
  }
  GrantDecision decision = IssueGrants(std::move(this->admission),
                                       std::move(demand), EventLoop::Now());
  this->admission = std::move(decision.state);
  for (const IssuedGrant& grant : decision.issued) {
    for (const auto& peer : this->peers) {
      if (peer->name == grant.holder && grant.count > 0) {
        peer->session->Send(Grant{grant.count, grant.lifetime});
      }
    }
  }
}

void EndpointAgent::ScheduleFreeSlotReport() {
  if (!this->refused_full || this->free_slot_timer) {
    return;
  }
  this->free_slot_timer = std::make_unique<Timer>(
      this->context.loop, kFreeSlotDelay, Duration(0), [this] {
        this->free_slot_timer.reset();
        if (CountSlotsInUse(this->admission) < this->admission.limit) {
          this->refused_full = false;
          this->SendHeartbeats();
        }
      });
}

void EndpointAgent::SendHeartbeats() {
  for (const auto& peer : this->peers) {
    peer->session->SendHeartbeat();
  }
}

void EndpointAgent::OnTick() {
  this->admission = AdvanceTime(std::move(this->admission), EventLoop::Now());
  this->ProcessWaiting();
  for (const auto& peer : this->peers) {
    std::erase_if(peer->unreported_dispatches, [&](const DispatchId& id) {
      return peer->session->Send(OutcomeUnknown{
          id, ResultCode::kOutcomeUnknown,
          "the send queue of the link to the entry host was full"});
    });
  }
  this->AdvanceDrain();
}

void EndpointAgent::AdvanceDrain() {
  if (!this->on_drained) {
    return;
  }
  std::size_t pending = this->runs.size();
  pending += this->claims ? this->claims->CountUnsettled() : 0;
  for (const auto& peer : this->peers) {
    pending += peer->unreported_dispatches.size();
    pending += peer->session->QueuedBytes() > 0 ? 1 : 0;
  }
  const bool timed_out = EventLoop::Now() - this->shutdown_started_at >
                         this->context.settings.drain_timeout;
  if (CanExit(this->drain, static_cast<int>(pending)) || timed_out) {
    std::exchange(this->on_drained, nullptr)();
  }
}

void EndpointAgent::Shutdown(std::function<void()> drained_handler) {
  if (this->drain.terminating) {
    return;
  }
  this->drain.terminating = true;
  this->on_drained = std::move(drained_handler);
  this->shutdown_started_at = EventLoop::Now();
  this->ApplyLeaving();
}

// Applies the state in `drain` and reports it to the entry hosts immediately.
void EndpointAgent::ApplyLeaving() {
  this->admission =
      SetLeaving(std::move(this->admission), IsLeaving(this->drain));
  Event event;
  event.kind =
      IsLeaving(this->drain) ? EventKind::kLeaving : EventKind::kJoined;
  event.endpoint = this->context.settings.back_end->endpoint;
  event.detail = this->drain.terminating ? "SIGTERM" : "the host list";
  this->context.Record(std::move(event));
  this->SendHeartbeats();
  this->ProcessWaiting();
}

void EndpointAgent::ReadHosts() {
  ReadHostList(this->client, FormatAddress(*this->context.settings.host_list),
               [this](const Result<std::vector<ListedHost>>& hosts) {
                 if (!hosts) {
                   this->context.metrics.Count("host_list_reads_failed");
                   return;
                 }
                 const auto listed = std::ranges::find(
                     hosts.value(), this->context.settings.process.value,
                     &ListedHost::name);
                 const bool leaving =
                     listed != hosts.value().end() && listed->leaving;
                 if (std::exchange(this->drain.listed, leaving) != leaving &&
                     !this->drain.terminating) {
                   this->ApplyLeaving();
                 }
               });
}

}  // namespace toucanhollow
