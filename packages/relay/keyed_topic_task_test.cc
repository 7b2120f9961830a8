#include "relay/keyed_topic_task.h"

#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http_server/http_server.h"

namespace toucanhollow {
namespace {

// A page of the stand-in: the offset after its records, and the topic's end.
// Its body has one digit for each.
HttpCall MakeNewestCall(const Address& store,
                        KeyedTopic,
                        const std::string& after) {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(store.port) +
             "/newest?after=" + after;
  return call;
}

HttpCall MakeReadCall(const Address& store,
                      KeyedTopic,
                      LogOffset from,
                      Duration wait) {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(store.port) +
             "/read?from=" + std::to_string(from) +
             "&wait_ms=" + std::to_string(wait / Milliseconds(1));
  return call;
}

Result<NewestPage> DecodeNewestDigit(const std::string& body) {
  NewestPage page;
  page.end = body.at(0) - '0';
  return page;
}

Result<LogPage> DecodeReadDigits(const std::string& body, LogOffset) {
  LogPage page;
  page.next = body.at(0) - '0';
  page.end = body.at(1) - '0';
  return page;
}

// As DecodeReadDigits, with a record.
Result<LogPage> DecodeReadRecord(const std::string& body, LogOffset from) {
  Result<LogPage> page = DecodeReadDigits(body, from);
  KeyedRecord record;
  record.key = "a";
  record.value = "1";
  page.value().records.push_back(std::move(record));
  return page;
}

struct StoreAnswer {
  int status = 200;
  std::string body = {};
  bool silent = false;
};

// A task that reads from a store with scripted answers. After the script the
// store does not answer.
struct Fixture {
  EventLoop loop;
  RelayCodec codec{};
  std::deque<StoreAnswer> script;
  std::vector<std::string> reads;
  std::vector<TimePoint> read_at;
  std::vector<std::shared_ptr<HttpResponseWriter>> unanswered;
  std::unique_ptr<HttpServer> server;
  StoreContact contact;
  std::vector<LogOffset> complete;
  std::function<void(const std::vector<std::string>& keys)> on_change;
  std::unique_ptr<KeyedTopicTask> task;

  explicit Fixture(std::deque<StoreAnswer> answers)
      : script(std::move(answers)) {
    this->codec.newest_call = MakeNewestCall;
    this->codec.decode_newest = DecodeNewestDigit;
    this->codec.read_call = MakeReadCall;
    this->codec.decode_read = DecodeReadDigits;
    auto listening = HttpServer::Listen(
        this->loop, {},
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponseWriter>& writer) {
          this->reads.push_back(request.path + "?" + request.query);
          this->read_at.push_back(EventLoop::Now());
          if (this->script.empty() || this->script.front().silent) {
            this->unanswered.push_back(writer);
          } else {
            writer->Respond(this->script.front().status, {},
                            this->script.front().body);
          }
          if (!this->script.empty()) {
            this->script.pop_front();
          }
        });
    REQUIRE(listening);
    this->server = std::move(listening.value());
    this->task = std::make_unique<KeyedTopicTask>(
        this->loop, this->codec, Address{"127.0.0.1", this->server->Port()},
        KeyedTopic::kServers, ReadTiming{Milliseconds(10), Milliseconds(40)},
        KeyedTopicCallbacks{
            [this](const StoreContact& state) { this->contact = state; },
            [this](const std::vector<std::string>& keys) {
              if (this->on_change) {
                this->on_change(keys);
              }
            },
            [this](TimePoint) {
              this->complete.push_back(this->task->mirror().end);
            }});
  }

  bool RunUntilReads(std::size_t count) {
    const TimePoint limit = EventLoop::Now() + Seconds(5);
    while (this->reads.size() < count && EventLoop::Now() < limit) {
      const Timer timer(this->loop, Milliseconds(2), Duration(0),
                        [this] { this->loop.Stop(); });
      this->loop.Run();
    }
    return this->reads.size() >= count;
  }
};

// Guards against refusing keys and routes that exist by records that the host
// has not read yet.
TEST_CASE("only an answer that reaches the end confirms the records") {
  Fixture fixture({{.body = "2"},
                   {.body = "46"},
                   {.body = "66"},
                   {.status = 410},
                   {.body = "8"},
                   {.body = "88"}});
  REQUIRE(fixture.RunUntilReads(7));
  CHECK(fixture.complete == std::vector<LogOffset>{2, 6, 8, 8});
}

// Guards against a host that waits before it reads what is there already.
TEST_CASE("a page that is not the last is followed by the next at once") {
  Fixture fixture({{.body = "2"}, {.body = "46"}, {.body = "66"}});
  REQUIRE(fixture.RunUntilReads(4));
  CHECK(fixture.reads[1] == "/read?from=2&wait_ms=40");
  CHECK(fixture.reads[2] == "/read?from=4&wait_ms=40");
  CHECK(fixture.read_at[2] - fixture.read_at[1] < Milliseconds(10));
  CHECK(fixture.read_at[3] - fixture.read_at[2] >= Milliseconds(10));
}

// Guards against concluding from one silent connection that the store is
// unavailable, and against a long poll while it is not known whether it is.
TEST_CASE("a read without answer is repeated at once and does not wait") {
  Fixture fixture({{.body = "2"},
                   {.silent = true},
                   {.silent = true},
                   {.body = "22"},
                   {.silent = true}});
  REQUIRE(fixture.RunUntilReads(3));
  CHECK_FALSE(fixture.contact.answering_since);
  CHECK_FALSE(fixture.contact.unavailable_at);
  CHECK(fixture.reads[2] == "/read?from=2&wait_ms=0");
  CHECK(fixture.read_at[2] - fixture.read_at[1] <
        Milliseconds(40) + kAnswerTimeout + Milliseconds(100));
  REQUIRE(fixture.RunUntilReads(4));
  // The second one was sent on a new connection.
  REQUIRE(fixture.contact.unavailable_at);
  CHECK(fixture.read_at[2] - *fixture.contact.unavailable_at <
        Milliseconds(100));
  REQUIRE(fixture.RunUntilReads(5));
  CHECK(fixture.contact.answering_since);
  CHECK(fixture.reads[4] == "/read?from=2&wait_ms=40");
}

// Guards against taking a refusal for a lost connection.
TEST_CASE("a refused read shows that the store is unavailable") {
  Fixture fixture({{.body = "2"}, {.status = 503}, {.body = "22"}});
  REQUIRE(fixture.RunUntilReads(3));
  REQUIRE(fixture.contact.unavailable_at);
  CHECK(fixture.read_at[2] - fixture.read_at[1] >= Milliseconds(99));
  CHECK(fixture.reads[2] == "/read?from=2&wait_ms=0");
}

// Guards against a host that never reads the store again after an exception,
// and against a change that nobody has taken.
TEST_CASE("reading goes on after an exception of the receiver") {
  Fixture fixture({{200, "0"}, {200, "11"}, {200, "11"}});
  fixture.codec.decode_read = DecodeReadRecord;
  int changes = 0;
  std::vector<std::string> taken;
  fixture.on_change = [&](const std::vector<std::string>& keys) {
    if (++changes == 1) {
      throw std::runtime_error("the receiver fails once");
    }
    taken = keys;
  };
  REQUIRE(fixture.RunUntilReads(4));
  CHECK(changes == 2);
  CHECK(taken == std::vector<std::string>{"a"});
}

}  // namespace
}  // namespace toucanhollow
