// HTTP/1.1 client that runs a libcurl multi handle on the event loop.
#ifndef HTTP_CLIENT_HTTP_CLIENT_H_
#define HTTP_CLIENT_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "event_loop/event_loop.h"
#include "http_client/http_call.h"

namespace toucanhollow {

using HttpCallId = std::uint64_t;

// Must not be destroyed inside one of its callbacks.
class HttpClient {
 public:
  static constexpr std::size_t kMaxKeptConnections = 256;

  // When more connections than that are open, the one that was idle for longest
  // is closed.
  explicit HttpClient(EventLoop& loop,
                      std::size_t max_kept_connections = kMaxKeptConnections);
  ~HttpClient();

  // Starts a call. Callbacks are called later, never inside Start.
  HttpCallId Start(HttpCall call, HttpCallbacks callbacks);
  // Closes the connection of the call; none of its callbacks is called
  // afterwards. Unknown and ended calls are ignored.
  void Cancel(HttpCallId id);
  std::size_t OpenCalls() const;

 private:
  struct Core;
  std::unique_ptr<Core> core;
};

}  // namespace toucanhollow

#endif  // HTTP_CLIENT_HTTP_CLIENT_H_
