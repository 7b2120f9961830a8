#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "http_stream/write_message.h"

namespace toucanhollow {
namespace {

ParseProblem ProblemOf(const std::string& bytes) {
  RequestParser parser(ParserLimits{});
  parser.Feed(bytes);
  return parser.problem();
}

// Guards against bytes that change on the way: servers see what callers sent.
TEST_CASE("a request keeps its target, headers and body at any split") {
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
    CHECK(parser.TakeRest().empty());
  }
}

// Guards against a second request that hides inside the first one.
TEST_CASE("requests that intermediaries read differently are refused") {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  CHECK(
      ProblemOf(start + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc") ==
      ParseProblem::kMalformed);
  CHECK(ProblemOf(start + "Content-Length: 3\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(ProblemOf(start + "Transfer-Encoding: chunked\r\n"
                          "Content-Length: 3\r\n\r\n0\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(ProblemOf(start + "X-A: b\r\n c\r\n\r\n") == ParseProblem::kMalformed);
  CHECK(ProblemOf(start + "X-A: b\nX-B: c\r\n\r\n") ==
        ParseProblem::kMalformed);
  CHECK(ProblemOf(start + "X-A : b\r\n\r\n") == ParseProblem::kMalformed);
  CHECK(ProblemOf(start + "Host: other\r\n\r\n") == ParseProblem::kMalformed);
  CHECK(ProblemOf("GET /a HTTP/1.1\r\n\r\n") == ParseProblem::kMalformed);
  CHECK(ProblemOf("GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n") ==
        ParseProblem::kMalformed);
}

// Guards against pipelined bytes that are lost or taken for a body.
TEST_CASE("bytes after a request are kept for the next one") {
  RequestParser parser(ParserLimits{});
  parser.Feed("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n");
  REQUIRE(parser.done());
  CHECK(parser.TakeRest() == "GET /b HTTP/1.1\r\n");
}

TEST_CASE("limits on headers and bodies have problems of their own") {
  RequestParser small(ParserLimits{64, 4});
  small.Feed("GET /" + std::string(200, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(small.problem() == ParseProblem::kHeaderTooLarge);
  RequestParser large(ParserLimits{1024, 4});
  large.Feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
  CHECK(large.problem() == ParseProblem::kBodyTooLarge);
}

// Guards against a cut answer that looks whole.
TEST_CASE("an answer that ends early is not done") {
  ResponseParser with_length(true);
  with_length.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  with_length.FeedEnd();
  CHECK_FALSE(with_length.done());
  CHECK(with_length.problem() == ParseProblem::kMalformed);
  ResponseParser chunked(true);
  chunked.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc");
  chunked.FeedEnd();
  CHECK_FALSE(chunked.done());
  CHECK(chunked.problem() == ParseProblem::kMalformed);
}

TEST_CASE("an answer without a length ends with its connection") {
  ResponseParser parser(true);
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  REQUIRE(parser.head_done());
  CHECK(parser.head().ends_with_connection);
  CHECK_FALSE(parser.done());
  parser.FeedEnd();
  CHECK(parser.done());
  CHECK(parser.TakeBody() == "abc");
}

// Guards against an interim answer that is taken for the final one.
TEST_CASE("interim answers are skipped") {
  ResponseParser parser(true);
  parser.Feed(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\nrest");
  REQUIRE(parser.done());
  CHECK(parser.head().status == 204);
  CHECK(parser.TakeRest() == "rest");
}

TEST_CASE("an answer to HEAD has no body") {
  ResponseParser parser(false);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  CHECK(parser.done());
}

// Guards against headers of one connection that reach another one.
TEST_CASE("headers of the connection are dropped") {
  const HttpHeaders kept =
      WithoutConnectionHeaders({{"Connection", "close, X-Mine"},
                                {"Keep-Alive", "timeout=5"},
                                {"X-Mine", "1"},
                                {"Transfer-Encoding", "chunked"},
                                {"X-Other", "2"}});
  CHECK(kept == HttpHeaders{{"X-Other", "2"}});
}

// Guards against an orderly end where a request is given up: what is still on
// its way to a host that stands still must be lost with the connection.
TEST_CASE("an attempt that is given up resets its connection") {
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
  ssize_t got = recv(accepted, &byte, 1, 0);
  if (got == 1) {
    got = recv(accepted, &byte, 1, 0);
  }
  CHECK(got == -1);
  CHECK(errno == ECONNRESET);
  close(accepted);
}

TEST_CASE("chunks carry their length in hexadecimal") {
  CHECK(WriteChunk(std::string(26, 'x')) ==
        "1a\r\n" + std::string(26, 'x') + "\r\n");
  CHECK(WriteChunk("").empty());
}

// Guards against a response that is taken for a broken one when its head comes
// alone: the fault soak saw answers that never ended.
TEST_CASE("a response may come head first, or without a body") {
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

}  // namespace
}  // namespace toucanhollow
