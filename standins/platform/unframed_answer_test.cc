// Answers that have neither a length nor chunks and end with their connection,
// and streams that end inside an event, on the whole path.
#include <string>

#include <catch2/catch.hpp>

#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

constexpr char kSealedHead[] =
    "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
    "X-Toucanhollow-Response-Seal: seal\r\n";
constexpr char kStreamType[] = "Content-Type: text/event-stream\r\n";

enum class Framing { kChunked, kNone };
enum class End { kOrderly, kReset };

// An answer with this body in one piece.
ScriptedAnswer Unframed(const std::string& body, End end) {
  ScriptedAnswer answer;
  answer.bytes = std::string(kSealedHead) + "\r\n" + body;
  answer.close = end == End::kOrderly;
  answer.reset = end == End::kReset;
  return answer;
}

ScriptedAnswer Stream(const std::string& events, Framing framing, End end) {
  ScriptedAnswer answer;
  answer.bytes = std::string(kSealedHead) + kStreamType;
  if (framing == Framing::kNone) {
    answer.bytes += "\r\n" + events;
  } else {
    constexpr std::string_view kHex = "0123456789abcdef";
    const std::size_t size = events.size();
    answer.bytes += "Transfer-Encoding: chunked\r\n\r\n";
    answer.bytes += kHex[size / 16 % 16];
    answer.bytes += kHex[size % 16];
    answer.bytes += "\r\n" + events + "\r\n0\r\n\r\n";
  }
  answer.close = end == End::kOrderly;
  answer.reset = end == End::kReset;
  return answer;
}

struct UnframedSite : Site {
  UnframedSite() {
    this->Configure();
    this->Start();
    REQUIRE(Serves(*this));
  }
};

TEST_CASE("an answer without length is whole at the end of its connection") {
  UnframedSite site;
  site.first.script.push_back(Unframed("all of it", End::kOrderly));
  const Answered answered = Ask(site, Request("GET", "/s/x", "r1"));
  CHECK(answered.status == 200);
  CHECK(answered.body == "all of it");
  CHECK(site.first.runs["r1"] == 1);
}

// Guards against a part of an answer that is passed on as the whole.
TEST_CASE("an answer without length that is reset is not whole") {
  UnframedSite site;
  site.first.script.push_back(Unframed("a part", End::kReset));
  const Answered safe = Ask(site, Request("GET", "/s/x", "r1"));
  CHECK(safe.status == 200);
  CHECK(safe.body == "ok");
  CHECK(site.first.runs["r1"] == 2);
  site.first.script.push_back(Unframed("a part", End::kReset));
  const Answered unsafe =
      Ask(site, Request("POST", "/u/x", "r2", "", "payment"));
  CHECK(unsafe.status == 502);
  CHECK(site.first.runs["r2"] == 1);
}

// Guards against a status that no caller can interpret and that is passed on.
TEST_CASE("an answer whose status is no HTTP status is not passed on") {
  UnframedSite site;
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    INFO(status);
    ScriptedAnswer answer;
    answer.bytes = std::string("HTTP/1.1 ") + status +
                   " X\r\nX-Toucanhollow-Request-Id: {id}\r\n"
                   "X-Toucanhollow-Response-Seal: seal\r\n"
                   "Content-Length: 2\r\n\r\nno";
    site.first.script.push_back(answer);
    const std::string safe_id = std::string("s") + status;
    const Answered safe = Ask(site, Request("GET", "/s/x", safe_id));
    CHECK(safe.status == 200);
    CHECK(safe.body == "ok");
    CHECK(site.first.runs[safe_id] == 2);
    site.first.script.push_back(answer);
    const std::string unsafe_id = std::string("u") + status;
    const Answered unsafe =
        Ask(site, Request("POST", "/u/x", unsafe_id, "", "payment"));
    CHECK(unsafe.status == 502);
    CHECK(site.first.runs[unsafe_id] == 1);
  }
}

// Guards against a coded body that is passed on as the server's own.
TEST_CASE("an answer with an unknown transfer coding is not passed on") {
  UnframedSite site;
  for (const char* coding : {"gzip", "gzip, chunked", "chunked, gzip"}) {
    INFO(coding);
    ScriptedAnswer answer;
    answer.bytes = std::string(kSealedHead) + "Transfer-Encoding: " + coding +
                   "\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    answer.close = true;
    site.first.script.push_back(answer);
    const Answered safe = Ask(site, Request("GET", "/s/x", "r1"));
    CHECK(safe.status == 200);
    CHECK(safe.body == "ok");
    site.first.script.push_back(answer);
    const Answered unsafe =
        Ask(site, Request("POST", "/u/x", "r2", "", "payment"));
    CHECK(unsafe.status == 502);
  }
}

// Guards against a large answer, which is forwarded as it comes, that looks
// complete although it broke off.
TEST_CASE("a large answer without length that is reset does not look whole") {
  UnframedSite site;
  const std::string large(400 * 1024, 'x');
  site.first.script.push_back(Unframed(large, End::kReset));
  Caller caller(site.loop, site.settings.callers.port);
  caller.connection->Write(Request("GET", "/s/x", "r1"));
  REQUIRE(site.RunUntil([&] { return caller.ended || caller.parser.done(); }));
  CHECK_FALSE(caller.parser.done());
  site.first.script.push_back(Unframed(large, End::kOrderly));
  const Answered whole = Ask(site, Request("GET", "/s/x", "r2"));
  CHECK(whole.status == 200);
  CHECK(whole.body == large);
}

TEST_CASE("a stream without chunks is whole at the end of its connection") {
  UnframedSite site;
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  site.first.script.push_back(Stream(events, Framing::kNone, End::kOrderly));
  const Answered answered = Ask(site, Request("POST", "/m/x", "r1", "", "p"));
  CHECK(answered.status == 200);
  CHECK(answered.body == events);
  CHECK(site.first.runs["r1"] == 1);
}

// Guards against a torn event that a caller gets as the end of its stream.
TEST_CASE("a stream that ends inside an event goes on at another server") {
  for (const Framing framing : {Framing::kNone, Framing::kChunked}) {
    for (const End end : {End::kOrderly, End::kReset}) {
      UnframedSite site;
      site.first.script.push_back(
          Stream("id: 1\ndata: a\n\nid: 2\nda", framing, end));
      site.first.script.push_back(
          Stream("id: 2\ndata: b\n\n", framing, End::kOrderly));
      const Answered answered =
          Ask(site, Request("POST", "/m/x", "r1", "", "p"));
      INFO(static_cast<int>(framing) << static_cast<int>(end));
      CHECK(answered.status == 200);
      CHECK(answered.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      CHECK(site.first.runs["r1"] == 2);
      CHECK(FindHeader(site.first.heads.back().headers, "Last-Event-Id") ==
            "1");
    }
  }
}

// Guards against the same where no server goes on with the stream.
TEST_CASE("a stream that ends inside an event does not look whole") {
  UnframedSite site;
  for (int attempt = 0; attempt < 2; ++attempt) {
    site.first.script.push_back(
        Stream("id: 1\ndata: a\n\nid: 2\nda", Framing::kNone, End::kOrderly));
  }
  Caller caller(site.loop, site.settings.callers.port);
  caller.connection->Write(Request("POST", "/m/x", "r1", "", "p"));
  REQUIRE(site.RunUntil([&] { return caller.ended || caller.parser.done(); }));
  CHECK_FALSE(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\n");
}

// Guards against a stream of which the caller gets nothing, because it ended
// inside its first event, and that counts as answered.
TEST_CASE("a stream that ends inside its first event is no answer") {
  UnframedSite site;
  for (int attempt = 0; attempt < 2; ++attempt) {
    site.first.script.push_back(
        Stream("id: 1\nda", Framing::kNone, End::kOrderly));
  }
  CHECK(Ask(site, Request("POST", "/m/x", "r1", "", "p")).status == 502);
  CHECK(site.first.runs["r1"] == 2);
}

}  // namespace
}  // namespace toucanhollow
