// Start line and headers of HTTP/1.1 messages.
#ifndef HTTP_STREAM_MESSAGE_HEAD_H_
#define HTTP_STREAM_MESSAGE_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "http_message/http_message.h"

namespace toucanhollow {

struct RequestHead {
  std::string method;
  // Path and query exactly as received, not decoded.
  std::string target;
  HttpHeaders headers;
  // False for HTTP/1.0 and for "Connection: close".
  bool keep_alive = true;
  // HTTP/1.0 has no interim responses.
  bool is_http_1_0 = false;

  bool operator==(const RequestHead&) const = default;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  bool keep_alive = true;
  // Body length in bytes; empty if the body is chunked or delimited by the
  // close of the connection.
  std::optional<std::uint64_t> content_length;
  // True if the body is delimited by the close of the connection.
  bool ends_with_connection = false;

  bool operator==(const ResponseHead&) const = default;
};

}  // namespace toucanhollow

#endif  // HTTP_STREAM_MESSAGE_HEAD_H_
