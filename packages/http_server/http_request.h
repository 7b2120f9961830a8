// One whole request as a handler gets it.
#ifndef HTTP_SERVER_HTTP_REQUEST_H_
#define HTTP_SERVER_HTTP_REQUEST_H_

#include <string>

#include "http_message/http_message.h"

namespace toucanhollow {

struct HttpRequest {
  std::string method;
  // Decoded, without the query.
  std::string path;
  // As sent, without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;
};

}  // namespace toucanhollow

#endif  // HTTP_SERVER_HTTP_REQUEST_H_
