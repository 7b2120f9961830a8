// Client of one plain service. Its format: plain HTTP, the key in the header
// Idempotency-Key and the account in X-Client-Account; a refusal with the
// header X-Not-Run: 1 did not run. GET /health answers 200 if it is up.
#ifndef SERVICE_API_SERVICE_CLIENT_H_
#define SERVICE_API_SERVICE_CLIENT_H_

#include <functional>
#include <string>

#include "http_client/http_client.h"
#include "service_api/service_call.h"

namespace toucanhollow {

struct ServiceClientOptions {
  // <IP address>:<port>
  std::string address;
  Duration health_timeout = Seconds(1);
  std::size_t max_answer_bytes = std::size_t{4} * 1024 * 1024;
};

class ServiceClient {
 public:
  ServiceClient(HttpClient& client, ServiceClientOptions options);

  HttpCallId Call(const ServiceCall& call,
                  std::function<void(ServiceOutcome)> done);
  HttpCallId CheckHealth(std::function<void(bool healthy)> done);
  // No callback comes afterwards; the cancelled call may run.
  void Cancel(HttpCallId id);

 private:
  HttpClient& client;
  ServiceClientOptions options;
};

}  // namespace toucanhollow

#endif  // SERVICE_API_SERVICE_CLIENT_H_
