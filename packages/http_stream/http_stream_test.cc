#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "http_stream/write_message.h"

namespace toucanhollow {
namespace {

ParseProblem FindRequestProblem(const std::string& bytes) {
  RequestParser parser(ParserLimits{});
  parser.Feed(bytes);
  return parser.problem();
}

// Guards against a relay that alters requests: servers must receive exactly
// what callers sent, however the bytes are split into reads.
TEST_CASE("a request split at any byte keeps its target, headers and body") {
  const std::string bytes =
      "POST /a%2fb/../c?x=%41 HTTP/1.1\r\nHost: h\r\nX-Odd:  v \r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n";
  for (std::size_t split = 0; split <= bytes.size(); ++split) {
    RequestParser parser(ParserLimits{});
    parser.Feed(bytes.substr(0, split));
    parser.Feed(bytes.substr(split));
    INFO("split at " << split);
    REQUIRE(parser.done());
    CHECK(parser.head().target == "/a%2fb/../c?x=%41");
    CHECK(FindHeader(parser.head().headers, "x-odd") == "v");
    CHECK(parser.TakeBody() == "abcde");
    CHECK(parser.TakeUnparsedBytes().empty());
  }
}

// Guards against request smuggling: a second request hidden in the first one.
TEST_CASE("ambiguously framed requests are refused") {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  CHECK(FindRequestProblem(
            start + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem(start +
                           "Content-Length: 3\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem(start + "Transfer-Encoding: chunked\r\n"
                                   "Content-Length: 3\r\n\r\n0\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem(start + "X-A: b\r\n c\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem(start + "X-A: b\nX-B: c\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem(start + "X-A : b\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem(start + "Host: other\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem("GET /a HTTP/1.1\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(FindRequestProblem("GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n") ==
        ParseProblem::kMalformed);
}

// Guards against a body whose end the parser takes for its beginning, so that a
// request hidden in it is run.
TEST_CASE("requests with an unclear transfer coding are refused") {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string hidden =
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  const auto problem_of = [&](const std::string& codings) {
    const std::string bytes = start + codings + "\r\n" + hidden;
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
      RequestParser parser(ParserLimits{});
      parser.Feed(bytes.substr(0, split));
      parser.Feed(bytes.substr(split));
      INFO("split at " << split);
      REQUIRE(parser.problem() == FindRequestProblem(bytes));
      REQUIRE_FALSE(parser.done());
    }
    return FindRequestProblem(bytes);
  };
  for (const char* coding :
       {"gzip", "identity", "chunked, gzip", "xchunked", "chunked;q=1", "",
        "chunked, chunked", "gzip, chunked, chunked", "chunked,", ", chunked",
        "\"chunked\"", "chunked gzip", "chunked\x0b"}) {
    INFO(coding);
    CHECK(problem_of("Transfer-Encoding: " + std::string(coding) + "\r\n") ==
          ParseProblem::kMalformed);
  }
  CHECK(problem_of("Transfer-Encoding: chunked\r\n"
                   "Transfer-Encoding: gzip\r\n") == ParseProblem::kMalformed);
  CHECK(problem_of("Transfer-Encoding: chunked\r\n"
                   "Transfer-Encoding: chunked\r\n") ==
        ParseProblem::kMalformed);
  CHECK(problem_of("Transfer-Encoding: gzip\r\nContent-Length: 3\r\n") ==
        ParseProblem::kMalformed);
  // The end of these bodies is clear, but nobody decodes them here.
  const std::string chunks = "\r\n3\r\nabc\r\n0\r\n\r\n";
  CHECK(FindRequestProblem(start + "Transfer-Encoding: gzip;level=9, chunked" +
                           "\r\n" + chunks) == ParseProblem::kUnknownCoding);
  CHECK(FindRequestProblem(start +
                           "Transfer-Encoding: gzip\r\n"
                           "Transfer-Encoding: chunked\r\n" +
                           chunks) == ParseProblem::kUnknownCoding);
  CHECK(FindRequestProblem("POST /a HTTP/1.0\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n" +
                           chunks) == ParseProblem::kMalformed);
  for (const char* plain : {"chunked", "Chunked", " CHUNKED\t"}) {
    INFO(plain);
    CHECK(FindRequestProblem(start + "Transfer-Encoding:" + plain + "\r\n" +
                             chunks) == ParseProblem::kNone);
  }
}

// Guards against lengths that other programs read differently.
TEST_CASE("requests with an unclear length are refused") {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const char* length : {"+3", "-3", "0x3", "3, 3", "3 3", "3;", "", "3.0",
                             "1e1", "three", "18446744073709551619"}) {
    INFO(length);
    CHECK(FindRequestProblem(start + "Content-Length: " + length +
                             "\r\n\r\nabc") == ParseProblem::kMalformed);
  }
  CHECK(FindRequestProblem(start + "Content-Length: 3\r\n"
                                   "Content-Length: 3\r\n\r\nabc") ==
        ParseProblem::kMalformed);
}

// Guards against chunks whose size other programs read differently.
TEST_CASE("requests with unclear chunks are refused") {
  const std::string start =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* chunks :
       {"+3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n", "3\nabc\n0\n\n", "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nabc0\r\n\r\n", "10000000000000003\r\nabc\r\n0\r\n\r\n"}) {
    INFO(chunks);
    RequestParser parser(ParserLimits{});
    parser.Feed(start + chunks + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(parser.problem() == ParseProblem::kMalformed);
    CHECK_FALSE(parser.done());
  }
}

// Guards against a body that is taken for the next request because the request
// offers another protocol.
TEST_CASE("a request that offers an upgrade keeps its body") {
  RequestParser parser(ParserLimits{});
  parser.Feed(
      "POST /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
      "Upgrade: h2c\r\nContent-Length: 3\r\n\r\nabcrest");
  REQUIRE(parser.done());
  CHECK(parser.problem() == ParseProblem::kNone);
  CHECK(parser.TakeBody() == "abc");
  CHECK(parser.TakeUnparsedBytes() == "rest");
}

// Guards against refusing lengths and chunks as callers send them.
TEST_CASE("requests with a clear length are accepted") {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const char* rest :
       {"\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nabc",
        "content-length:\t 0003 \r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding:Chunked \r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
        "TE: trailers\r\nTransfer-Encoding: chunked\r\n\r\n00\r\n\r\n"}) {
    INFO(rest);
    RequestParser parser(ParserLimits{});
    parser.Feed(start + rest);
    CHECK(parser.problem() == ParseProblem::kNone);
    CHECK(parser.done());
  }
}

// Guards against pipelined bytes that are lost or parsed as part of a body.
TEST_CASE("bytes after a request are returned for the next one") {
  RequestParser parser(ParserLimits{});
  parser.Feed("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n");
  REQUIRE(parser.done());
  CHECK(parser.TakeUnparsedBytes() == "GET /b HTTP/1.1\r\n");
}

std::size_t AllocatedBytes() {
  const struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

// Guards against heads that take more memory than is counted for them.
TEST_CASE("the memory of a head is counted as the allocator does") {
  // Freed blocks that the allocator caches count as allocated.
  constexpr std::size_t kCachedBytes = 4096;
  for (const std::size_t value_bytes : {1, 20, 50}) {
    for (const char* end : {"", "\r\n"}) {
      std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n";
      for (int i = 0; i < 250; ++i) {
        head += "F" + std::to_string(i) + ": " + std::string(value_bytes, 'v') +
                "\r\n";
      }
      head += end;
      const std::size_t before = AllocatedBytes();
      RequestParser parser(ParserLimits{20'000, 0});
      parser.Feed(head);
      if (parser.done()) {
        parser.TakeUnparsedBytes();
      }
      const std::size_t taken = AllocatedBytes() - before;
      INFO(value_bytes << " bytes a value, ended by '" << end << "'");
      CHECK(parser.problem() == ParseProblem::kNone);
      CHECK(parser.head_memory_bytes() + kCachedBytes >= taken);
      CHECK(parser.head_memory_bytes() <= 2 * taken);
    }
  }
}

TEST_CASE("too large headers and bodies are reported separately") {
  RequestParser small(ParserLimits{64, 4});
  small.Feed("GET /" + std::string(200, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(small.problem() == ParseProblem::kHeaderTooLarge);
  RequestParser large(ParserLimits{1024, 4});
  large.Feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
  CHECK(large.problem() == ParseProblem::kBodyTooLarge);
}

// Guards against a truncated response that is reported as complete.
TEST_CASE("a response that ends early is malformed") {
  ResponseParser with_length(true);
  with_length.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  with_length.FeedEndOfStream();
  CHECK_FALSE(with_length.done());
  CHECK(with_length.problem() == ParseProblem::kMalformed);
  ResponseParser chunked(true);
  chunked.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc");
  chunked.FeedEndOfStream();
  CHECK_FALSE(chunked.done());
  CHECK(chunked.problem() == ParseProblem::kMalformed);
}

TEST_CASE("a response without a length ends when the connection closes") {
  ResponseParser parser(true);
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  REQUIRE(parser.head_done());
  CHECK(parser.head().ends_with_connection);
  CHECK_FALSE(parser.done());
  parser.FeedEndOfStream();
  CHECK(parser.done());
  CHECK(parser.TakeBody() == "abc");
}

// Guards against a coded body that is passed on as the body itself, and against
// one whose end is taken from a length that does not apply.
TEST_CASE("a response with an unclear transfer coding is malformed") {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string body = "\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const char* framing :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip;level=9, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked,\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"}) {
    INFO(framing);
    const std::string bytes = start + framing + body;
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
      ResponseParser parser(true);
      parser.Feed(bytes.substr(0, split));
      parser.Feed(bytes.substr(split));
      parser.FeedEndOfStream();
      INFO("split at " << split);
      REQUIRE(parser.problem() == ParseProblem::kMalformed);
      REQUIRE_FALSE(parser.head_done());
      REQUIRE_FALSE(parser.done());
    }
  }
  ResponseParser old_version(true);
  old_version.Feed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + body);
  CHECK(old_version.problem() == ParseProblem::kMalformed);
  ResponseParser plain(true);
  plain.Feed(start + "transfer-encoding:Chunked\t\r\n" + body);
  CHECK(plain.done());
  CHECK(plain.TakeBody() == "abc");
}

// Guards against an interim response that is returned as the final one.
TEST_CASE("interim responses are skipped") {
  ResponseParser parser(true);
  parser.Feed(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\nrest");
  REQUIRE(parser.done());
  CHECK(parser.head().status == 204);
  CHECK(parser.TakeUnparsedBytes() == "rest");
}

// Guards against a status that no caller can interpret, and against the rest of
// such a response that is taken for the next one.
TEST_CASE("a response whose status is no final or interim one is malformed") {
  const std::string rest =
      " X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 0\r\n\r\n";
  for (const char* status : {"000", "001", "099", "101", "600", "999", "20",
                             "2000", "2 0", "", "+200", "-20"}) {
    for (const char* before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      const std::string bytes =
          before + std::string("HTTP/1.1 ") + status + rest;
      for (std::size_t split = 0; split <= bytes.size(); ++split) {
        ResponseParser parser(true);
        parser.Feed(bytes.substr(0, split));
        parser.Feed(bytes.substr(split));
        INFO("status '" << status << "', split at " << split);
        REQUIRE(parser.problem() == ParseProblem::kMalformed);
        REQUIRE_FALSE(parser.head_done());
        REQUIRE_FALSE(parser.done());
      }
    }
  }
}

TEST_CASE("a response to HEAD has no body") {
  ResponseParser parser(false);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  CHECK(parser.done());
}

// Guards against hop-by-hop headers that are forwarded to the next hop.
TEST_CASE("hop-by-hop headers are removed") {
  const HttpHeaders remaining =
      RemoveHopByHopHeaders({{"Connection", "close, X-Mine"},
                             {"Keep-Alive", "timeout=5"},
                             {"X-Mine", "1"},
                             {"Transfer-Encoding", "chunked"},
                             {"X-Other", "2"}});
  CHECK(remaining == HttpHeaders{{"X-Other", "2"}});
}

// Guards against an orderly close of an abandoned attempt: bytes still in
// flight to an unresponsive host must be discarded with the connection.
TEST_CASE("a connection marked for reset is reset when destroyed") {
  EventLoop loop;
  int accepted = -1;
  auto listener = TcpListener::Listen(loop, {"127.0.0.1", 0}, [&](int socket) {
    accepted = socket;
    loop.Stop();
  });
  REQUIRE(listener);
  auto connection = std::make_unique<TcpConnection>(
      loop, Address{"127.0.0.1", listener.value()->Port()});
  connection->Write("a");
  loop.Run();
  const Timer timer(loop, Milliseconds(50), Duration(0), [&] { loop.Stop(); });
  loop.Run();
  REQUIRE(connection->any_sent());
  connection->ResetOnClose();
  connection.reset();
  char byte = 0;
  ssize_t result = recv(accepted, &byte, 1, 0);
  if (result == 1) {
    result = recv(accepted, &byte, 1, 0);
  }
  CHECK(result == -1);
  CHECK(errno == ECONNRESET);
  close(accepted);
}

// Guards against a shutdown that overtakes queued bytes, and against bytes of
// the peer that are lost after it.
TEST_CASE("a connection that finishes writing sends everything and reads on") {
  EventLoop loop;
  std::array<int, 2> sockets{};
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) ==
          0);
  TcpConnection connection(loop, sockets[0]);
  std::string received;
  connection.SetCallbacks({nullptr,
                           [&](std::string_view bytes) { received += bytes; },
                           nullptr, nullptr});
  const std::string large(1000000, 'a');
  connection.Write(large);
  REQUIRE(connection.unsent() > 0);
  connection.FinishWriting();
  std::size_t read_bytes = 0;
  bool ended = false;
  std::vector<char> buffer(65536);
  for (int i = 0; i < 1000 && !ended; ++i) {
    const ssize_t count = recv(sockets[1], buffer.data(), buffer.size(), 0);
    read_bytes += count > 0 ? static_cast<std::size_t>(count) : 0;
    ended = count == 0;
    const Timer timer(loop, Milliseconds(1), Duration(0), [&] { loop.Stop(); });
    loop.Run();
  }
  CHECK(ended);
  CHECK(read_bytes == large.size());
  REQUIRE(send(sockets[1], "late", 4, MSG_NOSIGNAL) == 4);
  connection.ReadPending();
  CHECK(received == "late");
  close(sockets[1]);
}

TEST_CASE("chunks start with their length in hexadecimal") {
  CHECK(WriteChunk(std::string(26, 'x')) ==
        "1a\r\n" + std::string(26, 'x') + "\r\n");
  CHECK(WriteChunk("").empty());
}

// Guards against treating a response as malformed when its head arrives before
// its body. In the fault soak this caused responses that never ended.
TEST_CASE("a response may arrive head first or have an empty body") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";
  ResponseParser split(true);
  split.Feed(head);
  CHECK(split.head_done());
  CHECK_FALSE(split.done());
  CHECK(split.problem() == ParseProblem::kNone);
  split.Feed("ans");
  split.Feed("wer");
  CHECK(split.done());
  CHECK(split.TakeBody() == "answer");
  ResponseParser empty(true);
  empty.Feed("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(empty.done());
  CHECK(empty.problem() == ParseProblem::kNone);
}

// Feeds `begin` and then `unit` without end. Returns the number of bytes fed
// until the parser reports a problem, or at least kMaxFedBytes.
template <typename Parser>
std::size_t CountBytesUntilProblem(Parser& parser,
                                   const std::string& begin,
                                   const std::string& unit) {
  constexpr std::size_t kMaxFedBytes = std::size_t{2} * 1024 * 1024;
  std::string piece;
  while (piece.size() < 4096) {
    piece += unit;
  }
  parser.Feed(begin);
  std::size_t fed_bytes = begin.size();
  while (fed_bytes < kMaxFedBytes && parser.problem() == ParseProblem::kNone) {
    parser.Feed(piece);
    parser.TakeBody();
    fed_bytes += piece.size();
  }
  return fed_bytes;
}

// Guards against unbounded memory use, and a request that waits until its
// deadline, when a faulty server sends some part of a response without end.
TEST_CASE("every part of a message except its body is limited in size") {
  constexpr std::size_t kMaxAcceptedBytes = std::size_t{48} * 1024;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> responses = {
      {"HTTP/1.1 200 ", "O"},
      {ok + "X-A: ", "a"},
      {ok, "X-A: b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n"},
      {chunked, "0"},
      {chunked + "1;", "e"},
      {chunked + "0\r\n", "X-A: b\r\n"},
      {chunked + "0\r\nX-A: ", "a"},
      {"", "no answer at all "},
  };
  for (const auto& [begin, unit] : responses) {
    INFO("after '" << begin << "' without end '" << unit << "'");
    ResponseParser parser(true);
    CHECK(CountBytesUntilProblem(parser, begin, unit) < kMaxAcceptedBytes);
  }
  const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string chunks = post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> requests = {
      {"GET /", "a"},
      {post, "X-A: b\r\n"},
      {chunks, "0"},
      {chunks + "1;", "e"},
      {chunks + "0\r\n", "X-A: b\r\n"},
  };
  for (const auto& [begin, unit] : requests) {
    INFO("after '" << begin << "' without end '" << unit << "'");
    RequestParser parser(ParserLimits{});
    CHECK(CountBytesUntilProblem(parser, begin, unit) < kMaxAcceptedBytes);
  }
}

// Guards against a process abort on an empty chunked body that arrives in two
// pieces: Beast asserts on the second piece of a last chunk.
TEST_CASE("a chunked body may be split at any byte") {
  for (const std::string& body :
       {std::string("0\r\n\r\n"), std::string("3\r\nabc\r\n0\r\n\r\n"),
        std::string("0\r\nX-A: b\r\n\r\n"),
        std::string("1;x=y\r\na\r\n00\r\n\r\n")}) {
    const std::string head = "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t split = 0; split <= body.size(); ++split) {
      INFO("split at " << split);
      ResponseParser response(true);
      response.Feed("HTTP/1.1 200 OK\r\n" + head + body.substr(0, split));
      response.Feed(body.substr(split));
      CHECK(response.done());
      RequestParser request(ParserLimits{});
      request.Feed("POST /a HTTP/1.1\r\nHost: h\r\n" + head +
                   body.substr(0, split));
      request.Feed(body.substr(split));
      CHECK(request.done());
    }
  }
}

// Changes some bytes of a message, and may remove or repeat a part of it.
std::string Mutate(std::string text, std::mt19937& random) {
  constexpr std::string_view kBytes = "\r\n: ;,0a1fF\t\x00\x7f\xff";
  const auto random_below = [&random](std::size_t below) {
    return static_cast<std::size_t>(random()) % std::max<std::size_t>(below, 1);
  };
  for (std::size_t i = random_below(4); i > 0; --i) {
    text[random_below(text.size())] = kBytes[random_below(kBytes.size())];
  }
  const std::size_t begin = random_below(text.size());
  const std::string part = text.substr(begin, random_below(40));
  switch (random_below(4)) {
    case 0:
      text.insert(random_below(text.size()), part);
      break;
    case 1:
      text.erase(begin, part.size());
      break;
    default:
      break;
  }
  return text;
}

template <typename Parser>
void FeedInRandomPieces(Parser& parser,
                        const std::string& text,
                        std::mt19937& random) {
  for (std::size_t offset = 0; offset < text.size();) {
    const std::size_t size = 1 + random() % 24;
    parser.Feed(std::string_view(text).substr(offset, size));
    parser.TakeBody();
    offset += size;
  }
}

// Guards against a process abort on a malformed message.
TEST_CASE("mutated messages do not abort the process") {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nX-A: "
      "b\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
      "HTTP/1.0 200 OK\r\nX-A: b\r\n c\r\n\r\nuntil the end"};
  const std::vector<std::string> requests = {
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "a\r\n0123456789\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"};
  constexpr int kRounds = 4000;
  std::mt19937 random(20261204);
  int complete_count = 0;
  for (int round = 0; round < kRounds; ++round) {
    ResponseParser response(round % 7 != 0);
    FeedInRandomPieces(response, Mutate(responses[round % 4], random), random);
    response.FeedEndOfStream();
    RequestParser request(ParserLimits{});
    FeedInRandomPieces(request, Mutate(requests[round % 2], random), random);
    complete_count += response.done() && request.done() ? 1 : 0;
  }
  // The mutations leave some messages complete and break others.
  CHECK(complete_count > kRounds / 20);
  CHECK(complete_count < kRounds);
}

// A head of exactly `bytes` bytes after `begin`, in fields of about 1 KB.
std::string PaddedHead(const std::string& begin, std::size_t bytes) {
  constexpr std::size_t kFieldBytes = 1000;
  const std::string name = "X-A: ";
  const std::string empty_field = name + "\r\n";
  std::string head = begin;
  for (std::size_t left = bytes - begin.size() - 2; left > 0;) {
    const std::size_t field = left < 2 * kFieldBytes ? left : kFieldBytes;
    head += name + std::string(field - empty_field.size(), 'a') + "\r\n";
    left -= field;
  }
  return head + "\r\n";
}

// Feeds pieces of this size. If it is 0, each ends behind the first byte of a
// line.
template <typename Parser>
ParseProblem FindProblemInPieces(Parser parser,
                                 const std::string& bytes,
                                 std::size_t piece_bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t size =
        piece_bytes == 0 ? bytes.find('\n', at) + 2 - at : piece_bytes;
    parser.Feed(bytes.substr(at, size));
    at += size;
  }
  return parser.problem();
}

// Guards against heads that are larger than allowed because they arrive in
// pieces.
TEST_CASE("heads are limited in size however they are split") {
  constexpr std::size_t kMaxResponseHead = std::size_t{32} * 1024;
  const std::size_t max_request_head = ParserLimits{}.header_bytes;
  const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n";
  const std::string ok = "HTTP/1.1 204 No Content\r\n";
  for (const std::size_t piece : {std::size_t{0}, std::size_t{1000},
                                  std::size_t{4096}, std::size_t{1} << 20U}) {
    INFO("in pieces of " << piece << " bytes");
    const auto request_problem = [&](std::size_t bytes) {
      return FindProblemInPieces(RequestParser(ParserLimits{}),
                                 PaddedHead(get, bytes), piece);
    };
    CHECK(request_problem(max_request_head) == ParseProblem::kNone);
    CHECK(request_problem(max_request_head + 1) ==
          ParseProblem::kHeaderTooLarge);
    CHECK(request_problem(4 * max_request_head) ==
          ParseProblem::kHeaderTooLarge);
    const auto response_problem = [&](std::size_t bytes) {
      return FindProblemInPieces(ResponseParser(true), PaddedHead(ok, bytes),
                                 piece);
    };
    CHECK(response_problem(kMaxResponseHead) == ParseProblem::kNone);
    CHECK(response_problem(kMaxResponseHead + 1) ==
          ParseProblem::kHeaderTooLarge);
    CHECK(response_problem(4 * kMaxResponseHead) ==
          ParseProblem::kHeaderTooLarge);
  }
}

// Guards against heads that take many times their bytes once they are parsed.
TEST_CASE("heads with too many fields are refused") {
  const auto fields = [](int count) {
    std::string text;
    for (int i = 0; i < count; ++i) {
      text += "a:\r\n";
    }
    return text + "\r\n";
  };
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n";
  CHECK(FindRequestProblem(request + fields(255)) == ParseProblem::kNone);
  CHECK(FindRequestProblem(request + fields(256)) ==
        ParseProblem::kHeaderTooLarge);
  ResponseParser response(true);
  response.Feed("HTTP/1.1 200 OK\r\n" + fields(257));
  CHECK(response.problem() == ParseProblem::kHeaderTooLarge);
}

}  // namespace
}  // namespace toucanhollow
