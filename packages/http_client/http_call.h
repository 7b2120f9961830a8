// One request of the HTTP client and what is known after it.
#ifndef HTTP_CLIENT_HTTP_CALL_H_
#define HTTP_CLIENT_HTTP_CALL_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http_message/http_message.h"

namespace toucanhollow {

struct HttpCall {
  std::string method = "GET";
  // http://<IP address>:<port>/<path>
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = Seconds(1);
  // Zero means no bound; for long streams.
  Duration total_timeout = Seconds(30);
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
  // True lets the call use a kept connection. libcurl silently sends a request
  // again when a kept connection turns out to be closed, so a call that must
  // not run twice needs a fresh connection.
  bool repeatable = false;
};

enum class HttpEnd {
  kComplete,          // the whole response has come
  kNotConnected,      // no connection was made
  kTimedOut,          // connect_timeout or total_timeout passed
  kResponseTooLarge,  // more than max_response_bytes
  kBroken,            // the connection or the response broke
};

struct HttpOutcome {
  HttpEnd end = HttpEnd::kBroken;
  // False only if certainly no byte of the request was sent.
  bool maybe_sent = true;
  // 0 if no response header has come.
  int status = 0;
  HttpHeaders headers;
  // All bytes, unless the call has an on_data callback.
  std::string body;
  // For logs; empty if complete.
  std::string error;
};

struct HttpCallbacks {
  // Optional; called when the response header has come.
  std::function<void(int status, const HttpHeaders& headers)> on_header;
  // Optional; called with each piece of the body.
  std::function<void(std::string_view bytes)> on_data;
  // Called once, but not after Cancel.
  std::function<void(HttpOutcome outcome)> on_done;
};

}  // namespace toucanhollow

#endif  // HTTP_CLIENT_HTTP_CALL_H_
