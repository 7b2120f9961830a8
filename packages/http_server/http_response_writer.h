// Writes the response to one request, either at once or streamed later from the
// same thread.
#ifndef HTTP_SERVER_HTTP_RESPONSE_WRITER_H_
#define HTTP_SERVER_HTTP_RESPONSE_WRITER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "http_message/http_message.h"

namespace toucanhollow {

namespace detail {
struct HttpExchange;
}  // namespace detail

// After the caller has disconnected, all writes are ignored. A writer that is
// destroyed before End closes the connection, so that the caller detects the
// truncated response.
class HttpResponseWriter {
 public:
  explicit HttpResponseWriter(std::shared_ptr<detail::HttpExchange> exchange);
  ~HttpResponseWriter();
  HttpResponseWriter(const HttpResponseWriter&) = delete;
  HttpResponseWriter& operator=(const HttpResponseWriter&) = delete;

  // Sets the status and headers. Must be called once, before any Write.
  void Start(int status, HttpHeaders headers);
  void Write(std::string_view bytes);
  void End();
  // Calls Start, Write and End, so that the response has a Content-Length.
  void Respond(int status, HttpHeaders headers, std::string_view body);
  // Closes the connection without completing the response.
  void Abort();

  // Returns the bytes written but not yet passed to the connection, for
  // backpressure.
  std::size_t BufferedBytes() const;
  // Returns true once the caller has disconnected. Also true once a complete
  // response has been sent.
  bool HasCallerDisconnected() const;
  // Sets a callback, called once if the caller closes the connection before the
  // response has ended.
  void OnCallerDisconnected(std::function<void()> callback);

 private:
  std::shared_ptr<detail::HttpExchange> exchange;
};

}  // namespace toucanhollow

#endif  // HTTP_SERVER_HTTP_RESPONSE_WRITER_H_
