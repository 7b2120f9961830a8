// The entry host: callers' requests in, dispatches to endpoint agents out.
#ifndef ENTRY_ENTRY_HOST_H_
#define ENTRY_ENTRY_HOST_H_

#include <functional>
#include <memory>

#include "base/result.h"
#include "entry/endpoint_links.h"
#include "entry/request_task.h"
#include "http_server/http_server.h"
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
  void OnHttp(const HttpRequest& request,
              std::shared_ptr<HttpResponseWriter> writer);
  void WatchDrain();

  ProcessContext& context;
  bool leaving = false;
  std::unique_ptr<EndpointLinks> links;
  std::unique_ptr<RequestTask> requests;
  std::unique_ptr<HttpServer> http;
  std::function<void()> drained;
  TimePoint shutdown_at;
  bool accepting = true;
  std::unique_ptr<Timer> drain_timer;
};

}  // namespace toucanhollow

#endif  // ENTRY_ENTRY_HOST_H_
