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
  // Path and query exactly as sent.
  std::string target;
  HttpHeaders headers;
  // False for HTTP/1.0 and for "Connection: close".
  bool keep_alive = true;

  bool operator==(const RequestHead&) const = default;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  bool keep_alive = true;
  // Bytes of the body; empty if it is chunked or ends with the connection.
  std::optional<std::uint64_t> content_length;
  // True if only the end of the connection ends the body.
  bool ends_with_connection = false;

  bool operator==(const ResponseHead&) const = default;
};

}  // namespace toucanhollow

#endif  // HTTP_STREAM_MESSAGE_HEAD_H_
