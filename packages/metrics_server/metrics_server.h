// MetricsServer: serves the counters of a process as text. The process works
// without it: while the port is held by another socket, it is attempted again.
#ifndef METRICS_SERVER_METRICS_SERVER_H_
#define METRICS_SERVER_METRICS_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_server/http_server.h"

namespace toucanhollow {

class MetricsServer {
 public:
  // `format` returns the text of a response.
  MetricsServer(EventLoop& loop,
                Address address,
                std::function<std::string()> format);

 private:
  void Open();

  EventLoop& loop;
  Address address;
  std::function<std::string()> format;
  std::unique_ptr<HttpServer> server;
  // Set while the port is held.
  std::unique_ptr<Timer> retry_timer;
};

}  // namespace toucanhollow

#endif  // METRICS_SERVER_METRICS_SERVER_H_
