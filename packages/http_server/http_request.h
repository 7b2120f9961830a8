// A complete request as passed to a handler.
#ifndef HTTP_SERVER_HTTP_REQUEST_H_
#define HTTP_SERVER_HTTP_REQUEST_H_

#include <string>

#include "http_message/http_message.h"

namespace toucanhollow {

struct HttpRequest {
  std::string method;
  // Percent-decoded, without the query.
  std::string path;
  // As received, without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;
};

}  // namespace toucanhollow

#endif  // HTTP_SERVER_HTTP_REQUEST_H_
