#include "entry/entry_host.h"

#include <string>
#include <utility>

#include "caller_api/read_request.h"
#include "caller_api/write_answer.h"
#include "log_text/log.h"
#include "operator_api/operator_api.h"

namespace toucanhollow {
namespace {

constexpr Duration kDrainCheck = Milliseconds(50);

}  // namespace

EntryHost::EntryHost(ProcessContext& process_context)
    : context(process_context) {}

EntryHost::~EntryHost() = default;

Result<bool> EntryHost::Start() {
  SessionSelf self;
  self.hello = [] {
    Hello hello;
    hello.role = "entry_host";
    return hello;
  };
  self.heartbeat = [this] {
    Heartbeat heartbeat;
    heartbeat.time = EventLoop::WallNow();
    heartbeat.leaving = this->leaving;
    return heartbeat;
  };
  this->links = std::make_unique<EndpointLinks>(
      this->context, self,
      EndpointLinksEvents{
          [this](const AgentRun& agent, Message message) {
            this->requests->OnMessage(agent, std::move(message));
          },
          [this](const AgentRun& agent) { this->requests->OnLost(agent); },
          [] {}});
  this->requests = std::make_unique<RequestTask>(this->context, *this->links);
  this->links->SetAddresses(this->context.settings.peers);

  const LimitSettings& limits = this->context.settings.limits;
  HttpServerOptions options;
  options.address = this->context.settings.http.ip;
  options.port = this->context.settings.http.port;
  options.max_header_bytes = limits.header_bytes;
  options.max_body_bytes = limits.body_bytes;
  options.request_timeout = limits.caller_timeout;
  options.idle_timeout = limits.idle_timeout;
  options.max_connections = static_cast<unsigned>(limits.connections);
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

void EntryHost::OnHttp(const HttpRequest& request,
                       std::shared_ptr<HttpResponseWriter> writer) {
  if (AnswerOperator(this->context, !this->leaving, request, *writer)) {
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
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->drained = std::move(on_drained);
  this->shutdown_at = EventLoop::Now();
  Event event;
  event.kind = EventKind::kLeaving;
  this->context.Record(std::move(event));
  this->links->SendHeartbeats();
  this->drain_timer =
      std::make_unique<Timer>(this->context.loop, kDrainCheck, kDrainCheck,
                              [this] { this->WatchDrain(); });
}

void EntryHost::WatchDrain() {
  const Duration since = EventLoop::Now() - this->shutdown_at;
  if (since < this->context.settings.balancer_lag) {
    return;
  }
  if (std::exchange(this->accepting, false)) {
    this->http->StopAccepting();
  }
  const bool idle =
      this->requests->OpenRequests() == 0 && this->http->OpenRequests() == 0;
  if (idle || since > this->context.settings.drain_timeout) {
    this->drain_timer.reset();
    this->drained();
  }
}

}  // namespace toucanhollow
