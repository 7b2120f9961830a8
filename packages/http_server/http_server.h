// HTTP/1.1 server that runs libmicrohttpd on the event loop, without a thread
// of its own.
#ifndef HTTP_SERVER_HTTP_SERVER_H_
#define HTTP_SERVER_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "event_loop/event_loop.h"
#include "http_server/http_request.h"
#include "http_server/http_response_writer.h"

namespace toucanhollow {

// Callers that connect at the same moment, as the hosts of a site do after a
// pause of this process.
inline constexpr unsigned int kMinBacklog = 128;
// For servers that take no bodies.
inline constexpr std::size_t kSmallReceiveBytes = std::size_t{8} * 1024;

struct HttpServerOptions {
  // IPv4 address in dotted form.
  std::string address = "127.0.0.1";
  // 0 lets the system choose; see HttpServer::Port.
  std::uint16_t port = 0;
  // Larger request headers are refused with status 431.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  // Larger request bodies are refused with status 413.
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  // Limits the time from the complete header to the last byte of the body.
  // Slower requests are refused with status 408.
  Duration request_timeout = Seconds(10);
  // Connections without a request, and those whose caller does not read, are
  // closed after this time.
  Duration idle_timeout = Seconds(60);
  // Returns the JSON body of the error responses 408, 413 and 431 that the
  // server itself sends. If it is not set, they have a plain-text body.
  std::function<std::string(int status)> error_body;
  // As many further connections, and at least kMinBacklog, wait in the backlog
  // of the listening socket. Others find no place and try again.
  unsigned int max_connections = 4096;
  // Bytes of each connection that the kernel receives before they are read, and
  // as much again for its bookkeeping, which unread bytes may fill too. 0
  // leaves them to the kernel, for servers that take large bodies.
  std::size_t receive_bytes = 0;
  // Closes the connection that has waited longest for a complete request when
  // the last place is taken, so that callers which connect and send nothing
  // keep nobody out.
  bool closes_idle_when_full = false;
};

// Called with a complete request. The writer may outlive the call.
using HttpHandler = std::function<void(HttpRequest request,
                                       std::shared_ptr<HttpResponseWriter>)>;

// The destructor closes all connections; no callback is called after it has
// begun.
class HttpServer {
 public:
  // Fails with kSettingsInvalid if the address or port cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(EventLoop& loop,
                                                    HttpServerOptions options,
                                                    HttpHandler handler);
  ~HttpServer();

  std::uint16_t Port() const;
  // Closes the listening socket and idle connections. Open requests are
  // completed, and their connections are closed afterwards.
  void StopAccepting();
  // Returns the number of partly or completely received requests whose response
  // has not ended.
  std::size_t OpenRequests() const;
  std::size_t OpenConnections() const;

 private:
  struct Core;
  explicit HttpServer(std::unique_ptr<Core> core);
  std::unique_ptr<Core> core;
};

}  // namespace toucanhollow

#endif  // HTTP_SERVER_HTTP_SERVER_H_
