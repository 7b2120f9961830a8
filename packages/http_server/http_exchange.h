// State of one request and its response, shared by the libmicrohttpd callbacks
// and the response writer.
#ifndef HTTP_SERVER_HTTP_EXCHANGE_H_
#define HTTP_SERVER_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <string>

#include "http_message/http_message.h"
#include "http_server/http_request.h"

namespace toucanhollow::detail {

struct HttpExchange {
  HttpRequest request;
  bool body_too_large = false;
  bool handler_called = false;
  // The connection is suspended in libmicrohttpd until it is resumed.
  bool suspended = false;

  bool started = false;
  bool ended = false;
  bool aborted = false;
  // libmicrohttpd has finished the request, or the caller has disconnected;
  // `resume` is no longer called.
  bool completed = false;
  int status = 0;
  HttpHeaders headers;
  std::string buffer;
  // Bytes at the front of `buffer` that libmicrohttpd has copied. While an
  // oversized request body is received, the number of its discarded bytes.
  std::size_t consumed_bytes = 0;

  std::function<void()> on_caller_disconnected;
  // Resumes the connection if it is suspended.
  std::function<void()> resume;
};

}  // namespace toucanhollow::detail

#endif  // HTTP_SERVER_HTTP_EXCHANGE_H_
