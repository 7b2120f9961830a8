// The entry host: accepts callers' requests and dispatches them to endpoint
// agents.
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
  // Starts a graceful shutdown: readiness turns false at once, new requests are
  // still served for the balancer's lag, then the listening HTTP socket closes.
  // `on_drained` is called when the open requests have ended or the drain times
  // out.
  void Shutdown(std::function<void()> on_drained);

 private:
  Result<bool> ListenHttp();
  void OnHttp(const HttpRequest& request,
              std::shared_ptr<HttpResponseWriter> writer);
  void OnConfigChanged();
  void AdvanceDrain();
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
  bool config_change_posted = false;
  std::function<void()> on_drained;
  TimePoint shutdown_started_at;
  std::unique_ptr<Timer> drain_timer;
};

}  // namespace toucanhollow

#endif  // ENTRY_ENTRY_HOST_H_
