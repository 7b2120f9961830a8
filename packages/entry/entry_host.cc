#include "entry/entry_host.h"

#include <algorithm>
#include <string>
#include <utility>

#include "caller_api/read_request.h"
#include "caller_api/write_answer.h"
#include "log_text/log.h"
#include "operator_api/operator_api.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

constexpr Duration kDrainCheckPeriod = Milliseconds(50);

}  // namespace

EntryHost::EntryHost(ProcessContext& process_context)
    : context(process_context),
      client(process_context.loop),
      log(this->client,
          PlatformLogOptions{
              FormatAddress(process_context.settings.platform_log)}) {}

EntryHost::~EntryHost() = default;

bool EntryHost::IsReady() const {
  return this->drain.phase == EntryDrainPhase::kServing &&
         this->config->View().ready;
}

Result<bool> EntryHost::Start() {
  LocalMessages self;
  self.hello = [this] {
    Hello hello;
    hello.role = "entry_host";
    hello.config_offset = this->config->Offset();
    return hello;
  };
  self.heartbeat = [this] {
    Heartbeat heartbeat;
    heartbeat.time = EventLoop::WallNow();
    heartbeat.config_offset = this->config->Offset();
    heartbeat.leaving = this->drain.phase != EntryDrainPhase::kServing;
    return heartbeat;
  };
  const auto on_config_message =
      [this](const Message& message,
             const std::function<void(const Message&)>& reply) {
        this->config->OnPeerMessage(message, reply);
      };
  this->config = std::make_unique<ConfigTask>(
      this->context, this->log,
      [this](const ConfigView&) { this->OnConfigChanged(); });
  this->voids = std::make_unique<VoidTask>(
      this->context, this->log,
      [this](const VoidWatch& watch) { this->requests->OnVoidSettled(watch); });
  this->links = std::make_unique<EndpointLinks>(
      this->context, self,
      EndpointLinksEvents{
          [this](const AgentIncarnation& agent, Message message) {
            this->requests->OnMessage(agent, std::move(message));
          },
          [this](const AgentIncarnation& agent) {
            this->requests->OnAgentLinkLost(agent);
          },
          [this] { this->requests->ScheduleDispatch(); }, on_config_message});
  this->requests = std::make_unique<RequestTask>(
      this->context, *this->links, *this->voids, this->config->View());
  this->peers = std::make_unique<PeerLinks>(
      this->context, self,
      PeerLinksEvents{on_config_message, [this] { this->OnConfigChanged(); }});
  Result<bool> peers_started = this->peers->Start();
  if (!peers_started) {
    return peers_started;
  }
  this->config->StartRefresh([this] {
    std::vector<ProcessName> names;
    for (const Hello& host : this->peers->EntryHosts()) {
      names.push_back(host.process);
    }
    return names;
  });
  return this->ListenHttp();
}

Result<bool> EntryHost::ListenHttp() {
  const LimitSettings& limits = this->context.settings.limits;
  HttpServerOptions options;
  options.address = this->context.settings.http.ip;
  options.port = this->context.settings.http.port;
  options.max_header_bytes = limits.header_bytes;
  options.max_body_bytes = limits.body_bytes;
  options.request_timeout = limits.caller_timeout;
  options.idle_timeout = limits.idle_timeout;
  options.max_connections = static_cast<unsigned>(limits.connections);
  options.error_body = [](int status) {
    const ResultCode code = status == 431   ? ResultCode::kHeaderTooLarge
                            : status == 413 ? ResultCode::kBodyTooLarge
                                            : ResultCode::kCallerTimeout;
    return WriteError(MakeFailure(code, ""), RequestId{});
  };
  Result<std::unique_ptr<HttpServer>> server =
      HttpServer::Listen(this->context.loop, options,
                         [this](const HttpRequest& request,
                                std::shared_ptr<HttpResponseWriter> writer) {
                           this->OnHttp(request, std::move(writer));
                         });
  if (!server) {
    return server.error();
  }
  this->http = std::move(server).value();
  Log(Severity::kInfo, "entry",
      "serving callers on " + options.address + ":" +
          std::to_string(this->http->Port()));
  return true;
}

// Posts the change to the loop instead of applying it here: the caller may be
// handling a message of a link that the change closes.
void EntryHost::OnConfigChanged() {
  if (std::exchange(this->config_change_posted, true)) {
    return;
  }
  Post(this->context.loop, [this] {
    this->config_change_posted = false;
    const ConfigView& view = this->config->View();
    const bool has_plain_service = std::ranges::any_of(
        view.services,
        [](const auto& entry) { return entry.second.plain.has_value(); });
    if (has_plain_service) {
      this->voids->StartPollingClaimsEnd();
    }
    this->links->ApplyConfig(view, this->peers->EntryHosts());
  });
}

void EntryHost::OnHttp(const HttpRequest& request,
                       std::shared_ptr<HttpResponseWriter> writer) {
  if (request.path == "/metrics") {
    Metrics& metrics = this->context.metrics;
    metrics.SetGauge("requests_open",
                     static_cast<double>(this->requests->OpenRequests()));
    metrics.SetGauge("requests_queued",
                     static_cast<double>(this->requests->QueuedRequests()));
    metrics.SetGauge("links_open",
                     static_cast<double>(this->links->CountOpenLinks()));
    metrics.SetGauge("config_offset",
                     static_cast<double>(this->config->Offset()));
  }
  if (HandleOperatorRequest(this->context, this->IsReady(), request, *writer)) {
    return;
  }
  Result<CallerRequest> read = ReadRequest(request);
  if (!read) {
    const Failure& failure = read.error();
    writer->Respond(DescribeResultCode(failure.code).http_status,
                    {{"Content-Type", "application/json"}},
                    WriteError(failure, RequestId{}));
    return;
  }
  this->requests->Accept(std::move(read).value(), std::move(writer));
}

void EntryHost::Shutdown(std::function<void()> on_drained) {
  if (this->drain.phase != EntryDrainPhase::kServing) {
    return;
  }
  this->on_drained = std::move(on_drained);
  this->shutdown_started_at = EventLoop::Now();
  this->drain =
      BeginEntryDrain(this->drain, this->context.settings.balancer_lag,
                      this->shutdown_started_at);
  Event event;
  event.kind = EventKind::kLeaving;
  this->context.Record(std::move(event));
  this->links->SendHeartbeats();
  this->drain_timer = std::make_unique<Timer>(
      this->context.loop, kDrainCheckPeriod, kDrainCheckPeriod,
      [this] { this->AdvanceDrain(); });
}

void EntryHost::AdvanceDrain() {
  const TimePoint now = EventLoop::Now();
  const std::size_t in_flight =
      std::max(this->requests->OpenRequests(), this->http->OpenRequests());
  const EntryDrainPhase before = this->drain.phase;
  this->drain =
      AdvanceEntryDrain(this->drain, static_cast<int>(in_flight), now);
  if (before == EntryDrainPhase::kNotReady &&
      this->drain.phase != EntryDrainPhase::kNotReady) {
    this->http->StopAccepting();
  }
  const bool timed_out =
      now - this->shutdown_started_at > this->context.settings.drain_timeout;
  if (this->drain.phase == EntryDrainPhase::kExit || timed_out) {
    this->drain_timer.reset();
    this->on_drained();
  }
}

}  // namespace toucanhollow
