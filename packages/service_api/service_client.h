// Client of one plain service. Calls are plain HTTP, with the idempotency key
// in the header Idempotency-Key and the client account in X-Client-Account. An
// error response with the header X-Not-Run: 1 means that the call was not run.
// GET /health answers 200 if the service is up.
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
  // No callback of the call runs afterwards. The service may still run the
  // cancelled call.
  void Cancel(HttpCallId id);

 private:
  HttpClient& client;
  ServiceClientOptions options;
};

}  // namespace toucanhollow

#endif  // SERVICE_API_SERVICE_CLIENT_H_
