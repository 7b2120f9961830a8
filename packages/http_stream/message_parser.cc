// Beast checks parsed data with BOOST_ASSERT, which would abort the process on
// a malformed message. The handlers below throw instead, and the message is
// then reported as malformed.
#define BOOST_ENABLE_ASSERT_HANDLER

#include "http_stream/message_parser.h"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "http_message/body_framing.h"
#include "http_message/http_message.h"
#include "http_stream/write_message.h"

namespace boost {

// Boost prescribes these names and parameters.
// NOLINTBEGIN(readability-identifier-naming)
void assertion_failed(const char* condition,
                      const char* /*function*/,
                      const char* /*file*/,
                      long /*line*/) {  // NOLINT(google-runtime-int)
  throw std::logic_error(condition);
}

void assertion_failed_msg(const char* condition,
                          const char* /*message*/,
                          const char* /*function*/,
                          const char* /*file*/,
                          long /*line*/) {  // NOLINT(google-runtime-int)
  throw std::logic_error(condition);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace boost

namespace toucanhollow {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using BeastText = boost::beast::string_view;

// Larger than any header that a server of the platform sends. Limits each part
// of a response other than the body: the interim responses, the response head,
// a chunk header, and the trailer.
constexpr std::uint32_t kMaxResponseHeaderBytes = 32 * 1024;

// A short field takes many times its bytes once it is parsed.
constexpr std::size_t kMaxHeaderFields = 256;

// Beast's number of HTTP/1.1.
constexpr int kHttp11 = 11;

std::string ToString(BeastText text) {
  return {text.data(), text.size()};
}

ParseProblem ToProblem(const error_code& error) {
  if (error == http::error::header_limit) {
    return ParseProblem::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return ParseProblem::kBodyTooLarge;
  }
  return ParseProblem::kMalformed;
}

// Bytes that the allocator adds to a block.
constexpr std::size_t kBlockBytes = 16;

// Memory of a text outside of its object.
std::size_t TextMemoryBytes(const std::string& text) {
  static const std::size_t inline_bytes = std::string().capacity();
  return text.capacity() <= inline_bytes ? 0 : text.capacity() + kBlockBytes;
}

// Stores the message that Beast parses. `Head` is RequestHead or ResponseHead.
template <bool IsRequest, typename Head>
class Collector : public http::basic_parser<IsRequest> {
 public:
  Head head;
  std::string body;
  bool is_http_1_0 = false;
  bool has_length = false;
  std::uint64_t length = 0;
  // Total bytes of the names and values of the trailer fields.
  std::size_t trailer_bytes = 0;
  // Bytes of the current chunk that have not been received yet.
  std::uint64_t chunk_left = 0;
  // Memory of the fields that have been parsed.
  std::size_t field_memory_bytes = 0;
  // Bytes of the start line and the fields that have been parsed.
  std::size_t head_bytes = 0;
  std::size_t max_head_bytes = 0;

  void LimitHead(std::uint32_t bytes) {
    this->header_limit(bytes);
    this->max_head_bytes = bytes;
  }
  // With this many bytes that follow those that were parsed.
  bool IsHeadTooLarge(std::size_t pending) const {
    return this->head_bytes + (this->is_header_done() ? 0 : pending) >
           this->max_head_bytes;
  }

 private:
  // Beast prescribes the names below.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(http::verb /*verb*/,
                       BeastText method,
                       BeastText target,
                       int version,
                       error_code& error) override {
    error = {};
    this->is_http_1_0 = version < kHttp11;
    if constexpr (IsRequest) {
      this->head.method = ToString(method);
      this->head.target = ToString(target);
    }
  }
  void on_response_impl(int status,
                        BeastText reason,
                        int version,
                        error_code& error) override {
    error = ClassifyStatus(status) == StatusClass::kInvalid
                ? make_error_code(http::error::bad_status)
                : error_code();
    this->is_http_1_0 = version < kHttp11;
    if constexpr (!IsRequest) {
      this->head.status = status;
      this->head.reason = ToString(reason);
    }
  }
  void on_field_impl(http::field /*field*/,
                     BeastText name,
                     BeastText value,
                     error_code& error) override {
    error = {};
    if (this->is_header_done()) {
      // Trailer fields are discarded; only their size is limited.
      this->trailer_bytes += name.size() + value.size();
      if (this->trailer_bytes > kMaxResponseHeaderBytes) {
        error = http::error::header_limit;
      }
      return;
    }
    if (this->head.headers.size() == kMaxHeaderFields) {
      error = http::error::header_limit;
      return;
    }
    this->head.headers.push_back({ToString(name), ToString(value)});
    const HttpHeader& field = this->head.headers.back();
    this->field_memory_bytes +=
        TextMemoryBytes(field.name) + TextMemoryBytes(field.value);
  }
  void on_header_impl(error_code& error) override { error = {}; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& content_length,
                         error_code& error) override {
    error = {};
    this->has_length = content_length.has_value();
    this->length = content_length.value_or(0);
    if constexpr (IsRequest) {
      // The limit on bodies has been checked. Memory that is not written to is
      // not used.
      this->body.reserve(this->length);
    }
  }
  std::size_t on_body_impl(BeastText bytes, error_code& error) override {
    error = {};
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t size,
                            BeastText /*extensions*/,
                            error_code& error) override {
    error = {};
    this->chunk_left = size;
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 BeastText bytes,
                                 error_code& error) override {
    this->chunk_left -= bytes.size();
    return this->on_body_impl(bytes, error);
  }
  void on_finish_impl(error_code& error) override { error = {}; }
  // NOLINTEND(readability-identifier-naming)
};

// Size of the shortest last chunk, "0\r\n\r\n". Beast 1.74 fails when it is
// given fewer bytes of a last chunk that arrives in two pieces.
constexpr std::size_t kMinLastChunkBytes = 5;

template <typename Parser>
bool NeedsMoreBytes(const Parser& parser, std::size_t pending) {
  return parser.is_header_done() && parser.chunked() &&
         parser.chunk_left == 0 && pending < kMinLastChunkBytes;
}

// Feeds the pending bytes to the parser until it needs more, is done, or fails.
// Removes the consumed bytes from `pending`.
template <typename Parser>
ParseProblem ParsePending(Parser& parser, std::string& pending) {
  std::size_t consumed = 0;
  ParseProblem problem = ParseProblem::kNone;
  while (!parser.is_done() && consumed < pending.size() &&
         !NeedsMoreBytes(parser, pending.size() - consumed)) {
    error_code error;
    std::size_t parsed_bytes = 0;
    // Beast limits the bytes of one call only. The head is parsed by itself, so
    // that all of its bytes can be counted.
    const bool had_head = parser.is_header_done();
    parser.eager(had_head);
    try {
      parsed_bytes =
          parser.put(boost::asio::const_buffer(pending.data() + consumed,
                                               pending.size() - consumed),
                     error);
    } catch (const std::logic_error&) {
      problem = ParseProblem::kMalformed;
      break;
    }
    consumed += parsed_bytes;
    parser.head_bytes += had_head ? 0 : parsed_bytes;
    if (error && error != http::error::need_more) {
      problem = ToProblem(error);
      break;
    }
    if (parser.IsHeadTooLarge(pending.size() - consumed)) {
      problem = ParseProblem::kHeaderTooLarge;
      break;
    }
    if (error || parsed_bytes == 0) {
      break;
    }
  }
  pending.erase(0, consumed);
  return problem;
}

// Folded header lines are obsolete in HTTP/1.1, and servers interpret them
// differently.
bool HasFoldedLine(std::string_view header) {
  const std::size_t end = header.find("\r\n\r\n");
  const std::string_view block = header.substr(0, end);
  return block.find("\r\n ") != std::string_view::npos ||
         block.find("\r\n\t") != std::string_view::npos;
}

std::size_t CountHeaders(const HttpHeaders& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::ranges::count_if(headers, [name](const HttpHeader& header) {
        return IsSameHeaderName(header.name, name);
      }));
}

}  // namespace

struct RequestParser::State {
  Collector<true, RequestHead> parser;
  std::string pending;
  bool any_bytes = false;
  std::size_t header_bytes = 0;
  ParseProblem problem = ParseProblem::kNone;
};

RequestParser::RequestParser(ParserLimits limits)
    : state(std::make_unique<State>()) {
  this->state->header_bytes = limits.header_bytes;
  this->state->parser.LimitHead(limits.header_bytes);
  this->state->parser.body_limit(limits.body_bytes);
}

RequestParser::~RequestParser() = default;

void RequestParser::Feed(std::string_view bytes) {
  State& state = *this->state;
  state.any_bytes = state.any_bytes || !bytes.empty();
  state.pending.append(bytes);
  if (state.problem != ParseProblem::kNone || state.parser.is_done()) {
    return;
  }
  const bool had_head = state.parser.is_header_done();
  if (!had_head && HasFoldedLine(state.pending)) {
    state.problem = ParseProblem::kMalformed;
    return;
  }
  state.problem = ParsePending(state.parser, state.pending);
  if (state.problem == ParseProblem::kNone && !state.parser.is_done() &&
      state.pending.size() > state.header_bytes) {
    state.problem = ParseProblem::kHeaderTooLarge;
  }
  if (had_head || !state.parser.is_header_done()) {
    return;
  }
  RequestHead& head = state.parser.head;
  head.keep_alive = state.parser.keep_alive();
  head.is_http_1_0 = state.parser.is_http_1_0;
  if (head.target.empty() || head.target.front() != '/' ||
      CountHeaders(head.headers, "Host") != 1) {
    state.problem = ParseProblem::kMalformed;
    return;
  }
  // Beast takes codings that do not end with "chunked" for no body.
  switch (CheckRequestFraming(head.headers, state.parser.is_http_1_0)) {
    case BodyFraming::kClear:
      break;
    case BodyFraming::kUnknownCoding:
      state.problem = ParseProblem::kUnknownCoding;
      break;
    case BodyFraming::kAmbiguous:
      state.problem = ParseProblem::kMalformed;
      break;
  }
}

bool RequestParser::started() const {
  return this->state->any_bytes;
}
bool RequestParser::head_done() const {
  return this->state->parser.is_header_done();
}
bool RequestParser::done() const {
  return this->state->problem == ParseProblem::kNone &&
         this->state->parser.is_done();
}
ParseProblem RequestParser::problem() const {
  return this->state->problem;
}
const RequestHead& RequestParser::head() const {
  return this->state->parser.head;
}
std::size_t RequestParser::held_bytes() const {
  return this->state->parser.body.size() + this->state->pending.size();
}
std::size_t RequestParser::head_memory_bytes() const {
  const State& state = *this->state;
  const std::size_t unparsed =
      state.parser.is_done() ? 0 : TextMemoryBytes(state.pending);
  return sizeof(State) + unparsed + TextMemoryBytes(state.parser.head.target) +
         state.parser.head.headers.capacity() * sizeof(HttpHeader) +
         state.parser.field_memory_bytes;
}
std::optional<std::uint64_t> RequestParser::content_length() const {
  const boost::optional<std::uint64_t> length =
      this->state->parser.content_length();
  return this->head_done() && length ? std::optional(*length) : std::nullopt;
}
std::size_t RequestParser::body_bytes() const {
  return this->state->parser.body.size();
}
std::string RequestParser::TakeBody() {
  return std::exchange(this->state->parser.body, {});
}
std::string RequestParser::TakeUnparsedBytes() {
  return std::exchange(this->state->pending, {});
}

struct ResponseParser::State {
  using Parser = Collector<false, ResponseHead>;
  bool body_expected = true;
  std::unique_ptr<Parser> parser;
  std::string pending;
  // Total bytes of the interim responses skipped so far.
  std::size_t interim_bytes = 0;
  bool head_done = false;
  ParseProblem problem = ParseProblem::kNone;

  void StartNextResponse() {
    this->parser = std::make_unique<Parser>();
    this->parser->LimitHead(kMaxResponseHeaderBytes);
    // Boost 1.74 treats an unset limit as 0 if the response has a
    // Content-Length.
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser->skip(!this->body_expected);
  }

  bool IsInterim() const {
    return this->parser->is_header_done() &&
           ClassifyStatus(this->parser->head.status) == StatusClass::kInterim;
  }
};

ResponseParser::ResponseParser(bool body_expected)
    : state(std::make_unique<State>()) {
  this->state->body_expected = body_expected;
  this->state->StartNextResponse();
}

ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

void ResponseParser::Feed(std::string_view bytes) {
  State& state = *this->state;
  state.pending.append(bytes);
  while (state.problem == ParseProblem::kNone && !state.parser->is_done()) {
    const std::size_t before = state.pending.size();
    const bool had_head = state.parser->is_header_done();
    state.problem = ParsePending(*state.parser, state.pending);
    if (state.problem == ParseProblem::kNone && state.IsInterim()) {
      state.interim_bytes += before - state.pending.size();
      if (state.interim_bytes > kMaxResponseHeaderBytes) {
        state.problem = ParseProblem::kHeaderTooLarge;
        return;
      }
      state.StartNextResponse();
      continue;
    }
    if (!had_head && state.parser->is_header_done() &&
        !state.parser->IsHeadTooLarge(0) && !state.IsInterim()) {
      ResponseHead& head = state.parser->head;
      // Beast does not decode other codings than "chunked".
      if (CheckResponseFraming(head.headers, state.parser->is_http_1_0) !=
          BodyFraming::kClear) {
        state.problem = ParseProblem::kMalformed;
        return;
      }
      state.head_done = true;
      head.keep_alive = state.parser->keep_alive();
      head.ends_with_connection = state.parser->need_eof();
      if (state.parser->has_length) {
        head.content_length = state.parser->length;
      }
    }
    if (!state.parser->is_done() &&
        state.pending.size() > kMaxResponseHeaderBytes) {
      // Beast leaves only incomplete elements unconsumed, such as a line
      // without its end.
      state.problem = ParseProblem::kHeaderTooLarge;
    }
    if (state.pending.size() == before || state.pending.empty()) {
      return;
    }
  }
}

void ResponseParser::FeedEndOfStream() {
  State& state = *this->state;
  if (state.problem != ParseProblem::kNone || state.parser->is_done()) {
    return;
  }
  error_code error;
  if (state.parser->is_header_done() && state.parser->need_eof()) {
    state.parser->put_eof(error);
  } else {
    error = http::error::partial_message;
  }
  if (error) {
    state.problem = ToProblem(error);
  }
}

bool ResponseParser::head_done() const {
  return this->state->head_done;
}
bool ResponseParser::done() const {
  return this->state->head_done && this->state->parser->is_done();
}
ParseProblem ResponseParser::problem() const {
  return this->state->problem;
}
const ResponseHead& ResponseParser::head() const {
  return this->state->parser->head;
}
std::size_t ResponseParser::held_bytes() const {
  return this->state->parser->body.size() + this->state->pending.size();
}
std::string ResponseParser::TakeBody() {
  return std::exchange(this->state->parser->body, {});
}
std::string ResponseParser::TakeUnparsedBytes() {
  return std::exchange(this->state->pending, {});
}

}  // namespace toucanhollow
