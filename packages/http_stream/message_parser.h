// Incremental HTTP/1.1 parsers, fed with bytes that the caller has received.
//
// They use Boost.Beast. libcurl is not used for relayed requests, because it
// resends a request by itself when a reused connection turns out to be closed.
#ifndef HTTP_STREAM_MESSAGE_PARSER_H_
#define HTTP_STREAM_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http_stream/message_head.h"

namespace toucanhollow {

enum class ParseProblem {
  kNone,
  kMalformed,
  kHeaderTooLarge,  // or with too many fields
  kBodyTooLarge,
  // Requests only: the body has a transfer coding that is not decoded.
  kUnknownCoding,
};

struct ParserLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;

  bool operator==(const ParserLimits&) const = default;
};

// Parses one request. Refuses syntax that intermediaries interpret differently
// (request smuggling): an unclear length of the body (see
// CheckRequestFraming), folded header lines, and bare line feeds.
class RequestParser {
 public:
  explicit RequestParser(ParserLimits limits);
  ~RequestParser();

  // Accepts all bytes. Those after the end of the request stay available
  // through TakeUnparsedBytes.
  void Feed(std::string_view bytes);
  bool started() const;
  bool head_done() const;
  bool done() const;
  ParseProblem problem() const;
  const RequestHead& head() const;
  // Bytes of the body and of what has not been parsed yet.
  std::size_t held_bytes() const;
  // Memory that the head and what has not been parsed yet of the request take,
  // without the body. Many short fields take several times their bytes.
  std::size_t head_memory_bytes() const;
  // The length of the body, once the head has arrived and if it names one.
  std::optional<std::uint64_t> content_length() const;
  // Decoded bytes of the body.
  std::size_t body_bytes() const;
  // Returns and clears the decoded body, which is complete once done() is true.
  std::string TakeBody();
  // Returns and clears the received bytes that follow the request.
  std::string TakeUnparsedBytes();

 private:
  struct State;
  std::unique_ptr<State> state;
};

// Parses one final response and skips interim responses (1xx).
class ResponseParser {
 public:
  // `body_expected` is false for the response to a HEAD request.
  explicit ResponseParser(bool body_expected);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  void Feed(std::string_view bytes);
  // Must be called when the peer has closed the connection in an orderly way.
  void FeedEndOfStream();
  bool head_done() const;
  bool done() const;
  ParseProblem problem() const;
  const ResponseHead& head() const;
  // Bytes of the body and of what has not been parsed yet.
  std::size_t held_bytes() const;
  // Returns and clears the body bytes decoded since the last call.
  std::string TakeBody();
  // Returns and clears the received bytes that follow the response.
  std::string TakeUnparsedBytes();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // HTTP_STREAM_MESSAGE_PARSER_H_
