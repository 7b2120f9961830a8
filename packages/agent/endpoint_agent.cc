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

constexpr Duration kLoadInterval = Milliseconds(250);
constexpr Duration kTickInterval = Milliseconds(50);
// Engines publish cache events late anyway.
constexpr Duration kCacheInterval = Milliseconds(500);
constexpr Duration kGrantInterval = Seconds(1);
// The list lags anyway; it is advice beside the links.
constexpr Duration kHostListInterval = Seconds(2);
// Free slots are reported this long after the first that followed a refusal.
constexpr Duration kFreeSlotDelay = Milliseconds(20);

}  // namespace

struct EndpointAgent::Peer {
  std::shared_ptr<Session> session;
  ProcessName name;
  // Slots used since grants were issued last.
  int demand = 0;
  // Dispatches whose end could not be sent, because the queue was full.
  std::vector<DispatchId> unannounced;
};

struct EndpointAgent::Run {
  Dispatch dispatch;
  std::weak_ptr<Peer> peer;
  bool begun = false;
  TimePoint started;
  TimePoint first_piece;
  TimePoint last_piece;
  std::uint64_t pieces = 0;
  // A keyed call is claimed in the log before it runs; its body is kept to be
  // appended as the result.
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
  heartbeat.granted = OutstandingGrants(this->admission);
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
        ClaimTaskEvents{
            [this](const DispatchId& id) {
              const auto found = this->runs.find(id);
              if (found != this->runs.end()) {
                this->context.Record(
                    this->MakeEvent(*found->second, EventKind::kClaimed));
                this->StartBackEnd(*found->second);
              }
            },
            [this](const DispatchId& id, const ResultRecord& result) {
              this->OnKeptAnswer(id, result);
            },
            [this](const DispatchId& id, ResultCode code) {
              this->OnClaimRefused(id, code);
            }});
  }
  this->admission = MakeAdmissionState(parameters, this->context.incarnation,
                                       EventLoop::Now());
  // Nothing says that operators want work here until the configuration does.
  this->admission = SetEndpointOut(std::move(this->admission), true);
}

void EndpointAgent::OnConfigChanged(const ConfigView& view) {
  const TimePoint now = EventLoop::Now();
  const BackEndSettings& settings = *this->context.settings.back_end;
  const auto endpoint = view.endpoints.find(settings.endpoint);
  const auto data_centre =
      view.data_centres.find(this->context.settings.data_centre);
  const bool known = view.ready && endpoint != view.endpoints.end();
  this->admission =
      SetDataCentreOut(std::move(this->admission),
                       data_centre == view.data_centres.end() ||
                           !data_centre->second.content.in_service,
                       now);
  this->admission = SetEndpointOut(
      std::move(this->admission),
      !known || !endpoint->second.content.in_service || this->map_mismatch);
  if (known) {
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
    this->claims->SetWriters(static_cast<int>(
        std::ranges::count_if(view.endpoints, [&](const auto& entry) {
          const auto writer = view.services.find(entry.second.content.service);
          return writer != view.services.end() &&
                 writer->second.plain.has_value();
        })));
  }
  this->StartWaiting();
  this->SendHeartbeats();
}

Result<bool> EndpointAgent::Start() {
  const Settings& settings = this->context.settings;
  this->MakeBackEnd();
  this->config = std::make_unique<ConfigTask>(
      this->context, this->log,
      [this](const ConfigView& view) { this->OnConfigChanged(view); });

  SessionSelf self;
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
      std::make_unique<Timer>(this->context.loop, Duration(0), kLoadInterval,
                              [this] { this->ReadLoad(); });
  if (this->engine) {
    this->cache_timer = std::make_unique<Timer>(
        this->context.loop, kCacheInterval, kCacheInterval,
        [this] { this->ReadCacheEvents(); });
  }
  if (settings.host_list) {
    this->host_list_timer = std::make_unique<Timer>(
        this->context.loop, Duration(0), kHostListInterval,
        [this] { this->ReadHosts(); });
  }
  this->tick =
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
        if (!AnswerOperator(this->context, ready, request, *writer)) {
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
    // What may not be repeated runs to its end, because its result is kept.
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
    // The first copy of a duplicate may be running, so that a refusal could
    // be read as its outcome.
    if (decision.code != ResultCode::kDuplicateDispatch) {
      this->Refuse(*run, decision.code, "");
    }
    return;
  }
  ++peer->demand;
  Run& kept = *this->runs.emplace(run->dispatch.dispatch_id, std::move(run))
                   .first->second;
  if (decision.verdict == AdmissionVerdict::kRun) {
    this->Begin(kept);
  }
}

// The dispatch holds a slot.
void EndpointAgent::Begin(Run& run) {
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
    this->FreeUnrunSlot(id);
  }
}

void EndpointAgent::StartBackEnd(Run& run) {
  run.begun = true;
  run.started = EventLoop::Now();
  this->context.Record(this->MakeEvent(run, EventKind::kRunStarted));
  const DispatchId id = run.dispatch.dispatch_id;
  this->back_end.start(
      run.dispatch,
      BackEndEvents{
          [this, id](std::uint64_t index, std::string_view text) {
            this->OnPiece(id, index, text);
          },
          [this, id](const BackEndEnd& end) { this->OnEnded(id, end); }});
  this->Answer(run, Accepted{id});
}

// Ends a dispatch that held a slot and was not run.
void EndpointAgent::FreeUnrunSlot(const DispatchId& id) {
  CompletionSample sample;
  sample.dispatch = id;
  sample.outcome = CompletionOutcome::kNotRun;
  this->admission =
      RecordCompletion(std::move(this->admission), sample, EventLoop::Now());
  // The run may be on the call stack of its caller.
  Post(this->context.loop, [this, id] {
    this->runs.erase(id);
    this->StartWaiting();
  });
}

void EndpointAgent::OnKeptAnswer(const DispatchId& id,
                                 const ResultRecord& result) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  Event event = this->MakeEvent(*found->second, EventKind::kRunEnded);
  event.code = static_cast<int>(ResultCode::kAnswered);
  event.detail = "the log holds the answer of an earlier run";
  this->context.Record(std::move(event));
  this->Answer(*found->second, Token{id, 0, result.body});
  this->Answer(*found->second, Done{id, 1, result.http_status, "", ""});
  this->FreeUnrunSlot(id);
}

void EndpointAgent::OnClaimRefused(const DispatchId& id, ResultCode code) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  if (IsCertainlyNotRun(code)) {
    this->Refuse(*found->second, code, "");
  } else {
    this->Answer(*found->second, OutcomeUnknown{id, code, ""});
  }
  this->FreeUnrunSlot(id);
}

void EndpointAgent::Answer(const Run& run, const Message& message) {
  const auto peer = run.peer.lock();
  if (peer && !peer->session->Send(message)) {
    peer->unannounced.push_back(run.dispatch.dispatch_id);
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
  this->Answer(run, Refused{run.dispatch.dispatch_id, code,
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
  run.last_piece = EventLoop::Now();
  if (run.pieces++ == 0) {
    run.first_piece = run.last_piece;
    this->context.Record(this->MakeEvent(run, EventKind::kFirstToken));
  }
  if (run.keyed) {
    run.body += text;
  }
  const auto peer = run.peer.lock();
  if (peer && !peer->session->Send(Token{id, index, std::string(text)})) {
    // A stream with a missing token is of no use; the attempt ends.
    this->context.metrics.Count("streams_closed_by_full_queue");
    peer->unannounced.push_back(id);
    if (!run.keyed) {
      Post(this->context.loop, [this, id] { this->CancelRun(id); });
    }
  }
}

void EndpointAgent::OnEnded(const DispatchId& id, const BackEndEnd& end) {
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
      (run->pieces > 0 ? run->first_piece : now) - run->started;
  if (run->pieces > 1) {
    sample.step = (run->last_piece - run->first_piece) /
                  static_cast<std::int64_t>(run->pieces - 1);
  }
  Event event = this->MakeEvent(*run, EventKind::kRunEnded);
  event.code = static_cast<int>(end.failure.code);
  event.detail = end.failure.detail;
  this->context.Record(std::move(event));
  if (run->keyed) {
    const RunEnd run_end =
        end.kind == BackEndEnd::Kind::kComplete
            ? RunEnd::kAnswered
            : (end.kind == BackEndEnd::Kind::kNotRun ? RunEnd::kNotRun
                                                     : RunEnd::kUnknown);
    this->claims->RunEnded(id, run_end, end.status, std::move(run->body));
  }
  switch (end.kind) {
    case BackEndEnd::Kind::kComplete:
      sample.outcome = CompletionOutcome::kAnswered;
      this->Answer(*run, Done{id, end.count, end.status, end.content_type,
                              end.finish_reason});
      break;
    case BackEndEnd::Kind::kNotRun:
      sample.outcome = end.failure.code == ResultCode::kEngineRefused
                           ? CompletionOutcome::kEngineRefused
                           : CompletionOutcome::kError;
      this->Answer(*run, Refused{id, ResultCode::kNoEndpointAvailable, true,
                                 FormatFailure(end.failure)});
      break;
    case BackEndEnd::Kind::kUnknown:
      sample.outcome = CompletionOutcome::kError;
      this->Answer(*run, OutcomeUnknown{id, ResultCode::kOutcomeUnknown,
                                        FormatFailure(end.failure)});
      break;
  }
  this->admission = RecordCompletion(std::move(this->admission), sample, now);
  this->StartWaiting();
  this->ReportFreeSlot();
}

void EndpointAgent::OnCancel(const DispatchId& dispatch_id) {
  const auto found = this->runs.find(dispatch_id);
  if (found != this->runs.end() &&
      (found->second->dispatch.repeatable || !found->second->begun)) {
    this->CancelRun(dispatch_id);
  }
}

void EndpointAgent::CancelRun(const DispatchId& id) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  this->context.Record(this->MakeEvent(*found->second, EventKind::kCancelled));
  if (!found->second->begun && found->second->keyed) {
    this->claims->Cancel(id);
    this->FreeUnrunSlot(id);
    return;
  }
  if (found->second->begun) {
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
  this->StartWaiting();
}

void EndpointAgent::StartWaiting() {
  if (this->admission.waiting.empty()) {
    return;
  }
  WaitingDecision decision =
      TakeWaiting(std::move(this->admission), EventLoop::Now());
  this->admission = std::move(decision.state);
  for (const DispatchId& id : decision.started) {
    const auto found = this->runs.find(id);
    if (found != this->runs.end()) {
      this->Begin(*found->second);
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
    const bool known = this->admission.foreign_known;
    this->admission =
        RecordReport(std::move(this->admission), report, EventLoop::Now());
    if (!known) {
      this->SendHeartbeats();
    }
  });
}

// Passes the engine's cache events on as they are.
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
        if (std::exchange(this->cache_incarnation, read.value().incarnation) !=
                read.value().incarnation &&
            this->next_cache_event != 0) {
          // A new engine counts its events anew.
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
          // A notice that a full queue refuses costs efficiency only.
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

void EndpointAgent::ReportFreeSlot() {
  if (!this->refused_full || this->free_slot_timer) {
    return;
  }
  this->free_slot_timer = std::make_unique<Timer>(
      this->context.loop, kFreeSlotDelay, Duration(0), [this] {
        this->free_slot_timer.reset();
        if (SlotsInUse(this->admission) < this->admission.limit) {
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
  this->StartWaiting();
  for (const auto& peer : this->peers) {
    std::erase_if(peer->unannounced, [&](const DispatchId& id) {
      return peer->session->Send(OutcomeUnknown{id, ResultCode::kOutcomeUnknown,
                                                "the link's queue was full"});
    });
  }
  this->StepDrain();
}

void EndpointAgent::StepDrain() {
  if (!this->drained) {
    return;
  }
  std::size_t pending = this->runs.size();
  pending += this->claims ? this->claims->Unsettled() : 0;
  for (const auto& peer : this->peers) {
    pending += peer->unannounced.size();
    pending += peer->session->QueuedBytes() > 0 ? 1 : 0;
  }
  const bool timed_out = EventLoop::Now() - this->shutdown_at >
                         this->context.settings.drain_timeout;
  if (MayExit(this->drain, static_cast<int>(pending)) || timed_out) {
    std::exchange(this->drained, nullptr)();
  }
}

void EndpointAgent::Shutdown(std::function<void()> on_drained) {
  if (this->drain.terminating) {
    return;
  }
  this->drain.terminating = true;
  this->drained = std::move(on_drained);
  this->shutdown_at = EventLoop::Now();
  this->SetLeavingNow();
}

// Applies what `drain` says and tells the entry hosts at once.
void EndpointAgent::SetLeavingNow() {
  this->admission =
      SetLeaving(std::move(this->admission), IsLeaving(this->drain));
  Event event;
  event.kind =
      IsLeaving(this->drain) ? EventKind::kLeaving : EventKind::kJoined;
  event.endpoint = this->context.settings.back_end->endpoint;
  event.detail = this->drain.terminating ? "SIGTERM" : "the host list";
  this->context.Record(std::move(event));
  this->SendHeartbeats();
  this->StartWaiting();
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
                   this->SetLeavingNow();
                 }
               });
}

}  // namespace toucanhollow
