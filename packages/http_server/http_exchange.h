// The shared state of one request and its answer, between libmicrohttpd's
// callbacks and the response writer.
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
  // The handler has been called.
  bool handed_over = false;
  // libmicrohttpd has stopped serving the connection until it is resumed.
  bool suspended = false;

  bool started = false;
  bool ended = false;
  bool aborted = false;
  // libmicrohttpd has finished with the request; `wake` is no longer called.
  bool completed = false;
  int status = 0;
  HttpHeaders headers;
  std::string buffer;
  // Bytes at the front of `buffer` that the connection has taken.
  std::size_t taken = 0;

  std::function<void()> caller_gone;
  // Makes the server serve the connection again.
  std::function<void()> wake;
};

}  // namespace toucanhollow::detail

#endif  // HTTP_SERVER_HTTP_EXCHANGE_H_
