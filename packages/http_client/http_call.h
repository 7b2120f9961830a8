// A request of the HTTP client, its callbacks and its outcome.
#ifndef HTTP_CLIENT_HTTP_CALL_H_
#define HTTP_CLIENT_HTTP_CALL_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http_message/http_message.h"

namespace toucanhollow {

// Which connection a call uses, and what becomes of it.
enum class ConnectionUse {
  // An idle one if the call is repeatable, else a new one. It is kept for later
  // calls.
  kShared,
  // A new one, which is kept for later calls.
  kNew,
  // A new one, which is closed after the call.
  kOwn,
};

struct HttpCall {
  std::string method = "GET";
  // http://<IP address>:<port>/<path>
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = Seconds(1);
  // Zero disables the timeout, for long streams.
  Duration total_timeout = Seconds(30);
  std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
  // True lets the call reuse a connection. libcurl silently resends a request
  // when a reused connection turns out to be closed, so a call that must not be
  // executed twice needs a new connection. One with unread bytes is not reused.
  // A second copy of an earlier response that arrives after the request was
  // sent is taken for its response, as HTTP does not tell them apart.
  bool repeatable = false;
  ConnectionUse connection = ConnectionUse::kShared;
};

enum class HttpEnd {
  kComplete,          // the complete response has been received
  kNotConnected,      // the connection could not be established
  kTimedOut,          // connect_timeout or total_timeout passed
  kResponseTooLarge,  // body over max_response_bytes or header over 64 KiB
  kBroken,            // the connection failed or the response is malformed
};

struct HttpOutcome {
  HttpEnd end = HttpEnd::kBroken;
  // False only if it is certain that no byte of the request was sent.
  bool maybe_sent = true;
  // HTTP status, or 0 if no response header has been received.
  int status = 0;
  HttpHeaders headers;
  // The complete body; empty if the call has an on_data callback.
  std::string body;
  // Error text for logs; empty if `end` is kComplete.
  std::string error;
};

struct HttpCallbacks {
  // Optional; called when the response header has been received.
  std::function<void(int status, const HttpHeaders& headers)> on_header;
  // Optional; called with each piece of the body.
  std::function<void(std::string_view bytes)> on_data;
  // Called once when the call ends, but never after Cancel.
  std::function<void(HttpOutcome outcome)> on_done;
};

}  // namespace toucanhollow

#endif  // HTTP_CLIENT_HTTP_CALL_H_
