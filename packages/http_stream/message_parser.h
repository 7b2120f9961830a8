// Incremental parsers of HTTP/1.1 messages on bytes that the caller received.
//
// Boost.Beast parses. libcurl is not used for relayed requests, because it
// sends a request again by itself when a kept connection turns out closed.
#ifndef HTTP_STREAM_MESSAGE_PARSER_H_
#define HTTP_STREAM_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http_stream/message_head.h"

namespace toucanhollow {

enum class ParseProblem {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

struct ParserLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;

  bool operator==(const ParserLimits&) const = default;
};

// Parses one request. Refuses what intermediaries read differently: two
// lengths, a length beside chunks, folded headers, bare line feeds.
class RequestParser {
 public:
  explicit RequestParser(ParserLimits limits);
  ~RequestParser();

  // Takes all bytes; those after the request's end are kept for TakeRest.
  void Feed(std::string_view bytes);
  bool started() const;
  bool head_done() const;
  bool done() const;
  ParseProblem problem() const;
  const RequestHead& head() const;
  // The decoded body, complete once done().
  std::string TakeBody();
  // Bytes that follow the request.
  std::string TakeRest();

 private:
  struct State;
  std::unique_ptr<State> state;
};

// Parses one final response, and skips interim ones (1xx).
class ResponseParser {
 public:
  // `body_expected` is false for the response to a HEAD request.
  explicit ResponseParser(bool body_expected);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  void Feed(std::string_view bytes);
  // To be called at an orderly end of the connection.
  void FeedEnd();
  bool head_done() const;
  bool done() const;
  ParseProblem problem() const;
  const ResponseHead& head() const;
  // Decoded bytes of the body since the last call.
  std::string TakeBody();
  // Bytes that follow the response.
  std::string TakeRest();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // HTTP_STREAM_MESSAGE_PARSER_H_
