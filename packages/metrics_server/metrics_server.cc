#include "metrics_server/metrics_server.h"

#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

constexpr Duration kRetryPeriod = Seconds(1);
constexpr unsigned int kMaxConnections = 32;

}  // namespace

MetricsServer::MetricsServer(EventLoop& loop,
                             Address address,
                             std::function<std::string()> format)
    : loop(loop), address(std::move(address)), format(std::move(format)) {
  this->Open();
}

void MetricsServer::Open() {
  HttpServerOptions options;
  options.address = this->address.ip;
  options.port = this->address.port;
  options.max_connections = kMaxConnections;
  options.max_body_bytes = 0;
  options.receive_bytes = kSmallReceiveBytes;
  options.closes_idle_when_full = true;
  auto opened = HttpServer::Listen(
      this->loop, options,
      [this](const HttpRequest&,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        writer->Respond(200, {{"Content-Type", "text/plain"}}, this->format());
      });
  if (opened) {
    this->server = std::move(opened).value();
    if (this->retry_timer != nullptr) {
      this->retry_timer.reset();
      LogJsonNow("metrics_opened", {});
    }
    return;
  }
  if (this->retry_timer == nullptr) {
    LogJsonNow("metrics_delayed",
               {{"detail", std::string_view(opened.error().detail)}});
    this->retry_timer = std::make_unique<Timer>(
        this->loop, kRetryPeriod, kRetryPeriod, [this] { this->Open(); });
  }
}

}  // namespace toucanhollow
