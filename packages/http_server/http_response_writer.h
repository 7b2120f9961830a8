// The answer to one request: at once, or streamed later from the same thread.
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

// After the caller has gone, all writes are ignored. A writer destroyed before
// End closes the connection, so that the caller sees that the answer is cut.
class HttpResponseWriter {
 public:
  explicit HttpResponseWriter(std::shared_ptr<detail::HttpExchange> exchange);
  ~HttpResponseWriter();
  HttpResponseWriter(const HttpResponseWriter&) = delete;
  HttpResponseWriter& operator=(const HttpResponseWriter&) = delete;

  // Status and headers, once and before any Write.
  void Start(int status, HttpHeaders headers);
  void Write(std::string_view bytes);
  void End();
  // Start, Write and End in one; the answer then carries its length.
  void Respond(int status, HttpHeaders headers, std::string_view body);
  // Closes the connection without ending the answer.
  void Abort();

  // Bytes written but not yet taken by the connection, for backpressure.
  std::size_t BufferedBytes() const;
  bool CallerGone() const;
  // Called once if the caller closes the connection before the answer ended.
  void OnCallerGone(std::function<void()> gone);

 private:
  std::shared_ptr<detail::HttpExchange> exchange;
};

}  // namespace toucanhollow

#endif  // HTTP_SERVER_HTTP_RESPONSE_WRITER_H_
