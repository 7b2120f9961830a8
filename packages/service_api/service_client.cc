#include "service_api/service_client.h"

#include <utility>

namespace toucanhollow {
namespace {

ServiceOutcome ToOutcome(HttpOutcome http) {
  ServiceOutcome outcome;
  outcome.status = http.status;
  outcome.detail = std::move(http.error);
  if (!http.maybe_sent) {
    outcome.end = ServiceEnd::kNotRun;
    outcome.code = ResultCode::kServiceUnreachable;
  } else if (http.end == HttpEnd::kComplete) {
    const bool not_run =
        http.status >= 400 && FindHeader(http.headers, "X-Not-Run") == "1";
    outcome.end = not_run ? ServiceEnd::kNotRun : ServiceEnd::kAnswered;
    outcome.code =
        not_run ? ResultCode::kServiceUnreachable : ResultCode::kAnswered;
    outcome.body = std::move(http.body);
  }
  return outcome;
}

}  // namespace

ServiceClient::ServiceClient(HttpClient& client, ServiceClientOptions options)
    : client(client), options(std::move(options)) {}

HttpCallId ServiceClient::Call(const ServiceCall& call,
                               std::function<void(ServiceOutcome)> done) {
  HttpCall http;
  http.method = call.method;
  http.url = "http://" + this->options.address + call.path;
  http.body = call.body;
  if (!call.idempotency_key.empty()) {
    http.headers.push_back({"Idempotency-Key", call.idempotency_key});
  }
  if (!call.account.empty()) {
    http.headers.push_back({"X-Client-Account", call.account});
  }
  http.total_timeout = call.timeout;
  http.max_response_bytes = this->options.max_answer_bytes;
  http.repeatable = call.repeatable;
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done)](HttpOutcome outcome) {
    done(ToOutcome(std::move(outcome)));
  };
  return this->client.Start(std::move(http), std::move(callbacks));
}

HttpCallId ServiceClient::CheckHealth(std::function<void(bool)> done) {
  HttpCall http;
  http.url = "http://" + this->options.address + "/health";
  http.total_timeout = this->options.health_timeout;
  http.repeatable = true;
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done)](const HttpOutcome& outcome) {
    done(outcome.end == HttpEnd::kComplete && outcome.status == 200);
  };
  return this->client.Start(std::move(http), std::move(callbacks));
}

void ServiceClient::Cancel(HttpCallId id) {
  this->client.Cancel(id);
}

}  // namespace toucanhollow
