#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
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

// Bytes that a parser takes before it finds a problem in what never ends.
template <typename Parser>
std::size_t TakenOfEndless(Parser& parser,
                           const std::string& begin,
                           const std::string& unit) {
  constexpr std::size_t kMost = std::size_t{2} * 1024 * 1024;
  std::string piece;
  while (piece.size() < 4096) {
    piece += unit;
  }
  parser.Feed(begin);
  std::size_t taken = begin.size();
  while (taken < kMost && parser.problem() == ParseProblem::kNone) {
    parser.Feed(piece);
    parser.TakeBody();
    taken += piece.size();
  }
  return taken;
}

// Guards against memory that grows, and a request that waits until its
// deadline, while a server in trouble sends a part of an answer without end.
TEST_CASE("no part of a message but its body may come without end") {
  constexpr std::size_t kBound = std::size_t{160} * 1024;
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
    CHECK(TakenOfEndless(parser, begin, unit) < kBound);
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
    CHECK(TakenOfEndless(parser, begin, unit) < kBound);
  }
}

// Guards against an empty chunked body that ends the process when it comes in
// two pieces: Beast asserts on the rest of a last chunk.
TEST_CASE("a chunked body may be split anywhere") {
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

// Changes some bytes of a message, and cuts or repeats a part of it.
std::string Mutate(std::string text, std::mt19937& random) {
  constexpr std::string_view kBytes = "\r\n: ;,0a1fF\t\x00\x7f\xff";
  const auto any = [&random](std::size_t below) {
    return static_cast<std::size_t>(random()) % std::max<std::size_t>(below, 1);
  };
  for (std::size_t i = any(4); i > 0; --i) {
    text[any(text.size())] = kBytes[any(kBytes.size())];
  }
  const std::size_t begin = any(text.size());
  const std::string part = text.substr(begin, any(40));
  switch (any(4)) {
    case 0:
      text.insert(any(text.size()), part);
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
void FeedInPieces(Parser& parser,
                  const std::string& text,
                  std::mt19937& random) {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t size = 1 + random() % 24;
    parser.Feed(std::string_view(text).substr(at, size));
    parser.TakeBody();
    at += size;
  }
}

// Guards against a malformed message that ends the process.
TEST_CASE("mutated messages end a parser and not the process") {
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
  int whole = 0;
  for (int round = 0; round < kRounds; ++round) {
    ResponseParser response(round % 7 != 0);
    FeedInPieces(response, Mutate(responses[round % 4], random), random);
    response.FeedEnd();
    RequestParser request(ParserLimits{});
    FeedInPieces(request, Mutate(requests[round % 2], random), random);
    whole += response.done() && request.done() ? 1 : 0;
  }
  // The mutations leave some messages whole and break others.
  CHECK(whole > kRounds / 20);
  CHECK(whole < kRounds);
}

}  // namespace
}  // namespace toucanhollow
