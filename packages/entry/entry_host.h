// The entry host: callers' requests in, dispatches to endpoint agents out.
#ifndef ENTRY_ENTRY_HOST_H_
#define ENTRY_ENTRY_HOST_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "base/result.h"
#include "config_follow/config_task.h"
#include "entry/endpoint_links.h"
#include "entry/peer_links.h"
#include "entry/request_task.h"
#include "entry/void_task.h"
#include "http_client/http_client.h"
#include "http_server/http_server.h"
#include "membership/drain.h"
#include "platform_log/platform_log.h"
#include "session/process_context.h"
#include "session/session.h"

namespace toucanhollow {

class EntryHost {
 public:
  explicit EntryHost(ProcessContext& context);
  ~EntryHost();

  // Opens the sockets. Fails with kSettingsInvalid.
  Result<bool> Start();
  // Not ready at once; serves for the balancer's lag, lets open requests end,
  // then calls `drained`.
  void Shutdown(std::function<void()> drained);

 private:
  Result<bool> ListenHttp();
  void OnHttp(const HttpRequest& request,
              std::shared_ptr<HttpResponseWriter> writer);
  void OnConfigChanged();
  void StepDrain();
  bool IsReady() const;

  ProcessContext& context;
  HttpClient client;
  PlatformLog log;
  std::unique_ptr<ConfigTask> config;
  std::unique_ptr<VoidTask> voids;
  std::unique_ptr<EndpointLinks> links;
  std::unique_ptr<PeerLinks> peers;
  std::unique_ptr<RequestTask> requests;
  std::unique_ptr<HttpServer> http;
  EntryDrain drain;
  bool config_posted = false;
  std::function<void()> drained;
  TimePoint shutdown_at;
  std::unique_ptr<Timer> drain_timer;
};

}  // namespace toucanhollow

#endif  // ENTRY_ENTRY_HOST_H_
