#include "relay/keyed_topic_task.h"

#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http_server/http_server.h"
#include "traffic/unusable_values.h"

namespace toucanhollow {
namespace {

// A page of the stand-in: the offset after its records, and the topic's end.
// Its body has one digit for each. A page of newest records has the end alone,
// or also a letter if another page follows.
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
                      StorePosition from,
                      Duration wait) {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(store.port) +
             "/read?from=" + std::to_string(from.number) +
             "&wait_ms=" + std::to_string(wait / Milliseconds(1));
  return call;
}

Result<NewestPage> DecodeNewestDigit(const std::string& body, StoreEra era) {
  NewestPage page;
  page.end = {era, body.at(0) - '0'};
  page.has_more = body.size() > 1;
  if (page.has_more) {
    page.records.push_back({"m", "1", {era, 0}});
  }
  return page;
}

Result<LogPage> DecodeReadDigits(const std::string& body, StorePosition from) {
  LogPage page;
  page.next = {from.era, body.at(0) - '0'};
  page.end = {from.era, body.at(1) - '0'};
  return page;
}

// As DecodeReadDigits, with a record.
Result<LogPage> DecodeReadRecord(const std::string& body, StorePosition from) {
  Result<LogPage> page = DecodeReadDigits(body, from);
  KeyedRecord record;
  record.key = "a";
  record.value = "1";
  record.position = from;
  page.value().records.push_back(std::move(record));
  return page;
}

// "x" is malformed.
Result<StoreEra> DecodeTestEra(const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    if (header.name == "Era") {
      if (header.value == "x") {
        return MakeFailure(ResultCode::kRecordMalformed, "no era");
      }
      return StoreEra{std::stoll(header.value)};
    }
  }
  return StoreEra{};
}

std::optional<RecordOrder> DecodeNoOrder(KeyedTopic,
                                         const std::string&,
                                         const std::string&) {
  return std::nullopt;
}

// Every value but "1" is unusable.
Result<ListedServer> DecodeServerDigit(const std::string&,
                                       const std::string& value) {
  if (value != "1") {
    return MakeFailure(ResultCode::kRecordMalformed, "no digit");
  }
  return ListedServer{};
}

struct StoreAnswer {
  int status = 200;
  std::string body = {};
  bool silent = false;
  std::string era = {};
};

// A task that reads from a store with scripted answers. After the script the
// store does not answer.
struct Fixture {
  static constexpr std::uint64_t kSpreadSeed = 30000;

  EventLoop loop;
  RelayCodec codec{};
  std::deque<StoreAnswer> script;
  std::vector<std::string> reads;
  std::vector<TimePoint> read_at;
  std::vector<std::shared_ptr<HttpResponseWriter>> unanswered;
  std::unique_ptr<HttpServer> server;
  StoreContact contact;
  std::vector<std::int64_t> complete;
  std::function<void(const std::vector<std::string>& keys)> on_change;
  int new_eras = 0;
  Duration hold = Seconds(10);
  std::unique_ptr<KeyedTopicTask> task;

  explicit Fixture(std::deque<StoreAnswer> answers)
      : script(std::move(answers)) {
    this->codec.newest_call = MakeNewestCall;
    this->codec.decode_newest = DecodeNewestDigit;
    this->codec.read_call = MakeReadCall;
    this->codec.decode_read = DecodeReadDigits;
    this->codec.decode_era = DecodeTestEra;
    this->codec.decode_order = DecodeNoOrder;
    this->codec.decode_server = DecodeServerDigit;
    auto listening = HttpServer::Listen(
        this->loop, {},
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponseWriter>& writer) {
          this->reads.push_back(request.path + "?" + request.query);
          this->read_at.push_back(EventLoop::Now());
          if (this->script.empty() || this->script.front().silent) {
            this->unanswered.push_back(writer);
          } else {
            const StoreAnswer& answer = this->script.front();
            HttpHeaders headers;
            if (!answer.era.empty()) {
              headers.push_back({"Era", answer.era});
            }
            writer->Respond(answer.status, headers, answer.body);
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
        kSpreadSeed,
        KeyedTopicCallbacks{
            [this](const StoreContact& state) { this->contact = state; },
            [this](const std::vector<std::string>& keys) {
              if (this->on_change) {
                this->on_change(keys);
              }
            },
            [this](TimePoint) {
              this->complete.push_back(this->task->mirror().end.number);
            },
            [this](TimePoint now) {
              ++this->new_eras;
              return now + this->hold;
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
  CHECK(fixture.complete == std::vector<std::int64_t>{2, 6, 8, 8});
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

constexpr const char* kNewestRead = "/newest?after=";

// Guards against reads without a pause while the newest records end before the
// position, as at a restored store that names no era.
TEST_CASE("reads whose position is gone again and again are paused") {
  Fixture fixture(std::deque<StoreAnswer>{{.body = "8"}});
  for (int i = 0; i < 200; ++i) {
    fixture.script.push_back({.status = 410});
    fixture.script.push_back({.body = "2"});
  }
  REQUIRE(fixture.RunUntilReads(3));
  CHECK(fixture.read_at[2] - fixture.read_at[1] < Milliseconds(50));
  const std::size_t before = fixture.reads.size();
  const TimePoint end = EventLoop::Now() + Seconds(1);
  while (EventLoop::Now() < end) {
    fixture.RunUntilReads(fixture.reads.size());
    const Timer timer(fixture.loop, Milliseconds(20), Duration(0),
                      [&fixture] { fixture.loop.Stop(); });
    fixture.loop.Run();
  }
  // Pauses of 100, 200 and 400 ms, and two reads after each.
  CHECK(fixture.reads.size() - before <= 8);
}

// Guards against a host that goes on in a history that is gone, and against
// hosts that all read at once.
TEST_CASE("a new era is read anew after a delay of the host") {
  Fixture fixture(std::deque<StoreAnswer>{{.body = "8", .era = "1"}});
  SECTION("the position is gone") {
    fixture.script.push_back({.status = 410, .era = "2"});
  }
  SECTION("the position exists again") {
    fixture.codec.decode_read = DecodeReadRecord;
    fixture.script.push_back({.body = "99", .era = "2"});
  }
  fixture.script.push_back({.body = "3", .era = "2"});
  fixture.script.push_back({.body = "44", .era = "2"});
  REQUIRE(fixture.RunUntilReads(3));
  CHECK(fixture.reads[2] == kNewestRead);
  CHECK(fixture.read_at[2] - fixture.read_at[1] >=
        Duration(Fixture::kSpreadSeed));
  CHECK(fixture.read_at[2] - fixture.read_at[1] <
        kMaxNewEraDelay + Milliseconds(100));
  REQUIRE(fixture.RunUntilReads(5));
  for (const auto& [key, record] : fixture.task->mirror().records) {
    CHECK(record.position == StorePosition{StoreEra{2}, 3});
  }
  CHECK(fixture.reads[3] == "/read?from=3&wait_ms=40");
  CHECK(fixture.reads[4] == "/read?from=4&wait_ms=40");
  CHECK(fixture.task->mirror().end == StorePosition{StoreEra{2}, 4});
  CHECK(fixture.complete == std::vector<std::int64_t>{8, 3, 4});
  CHECK(fixture.new_eras == 2);
  // Entries that expired while the store was away are doubted, although no read
  // failed.
  REQUIRE(fixture.contact.unavailable_at);
  CHECK(fixture.contact.answering_since > fixture.contact.unavailable_at);
}

// Guards against an answer from which an older or an unknown history is taken.
TEST_CASE("an answer of an earlier or unreadable era is not used") {
  const std::string era = GENERATE("1", "", "x");
  Fixture fixture({{.body = "8", .era = "2"},
                   {.body = "99", .era = era},
                   {.body = "99", .era = "2"}});
  REQUIRE(fixture.RunUntilReads(4));
  CHECK(fixture.reads[2] == "/read?from=8&wait_ms=0");
  CHECK(fixture.read_at[2] - fixture.read_at[1] >= Milliseconds(99));
  CHECK(fixture.complete == std::vector<std::int64_t>{8, 9});
  CHECK(fixture.task->era() == StoreEra{2});
}

// Guards against a list of all keys that is made of pages of two eras, so that
// keys of one of them are missing.
TEST_CASE("the pages of a list are read again if the era changes") {
  Fixture fixture({{.body = "8m", .era = "1"},
                   {.body = "8", .era = "2"},
                   {.body = "7m", .era = "2"},
                   {.body = "7", .era = "2"}});
  REQUIRE(fixture.RunUntilReads(5));
  CHECK(fixture.reads[1] == "/newest?after=m");
  CHECK(fixture.reads[2] == kNewestRead);
  CHECK(fixture.reads[3] == "/newest?after=m");
  CHECK(fixture.reads[4] == "/read?from=7&wait_ms=40");
  CHECK(fixture.complete == std::vector<std::int64_t>{7});
}

// Guards against a second restore that is noticed only when its offsets have
// passed those of the first.
TEST_CASE("a refusal tells the era as well") {
  Fixture fixture({{.body = "8", .era = "1"},
                   {.status = 503, .era = "2"},
                   {.status = 503, .era = "3"},
                   {.body = "3", .era = "3"}});
  REQUIRE(fixture.RunUntilReads(5));
  CHECK(fixture.reads[2] == kNewestRead);
  CHECK(fixture.reads[3] == kNewestRead);
  CHECK(fixture.read_at[3] - fixture.read_at[2] >= Milliseconds(99));
  CHECK(fixture.reads[4] == "/read?from=3&wait_ms=40");
  CHECK(fixture.task->mirror().end.era == StoreEra{3});
}

// Guards against a host without contact that stays in the earlier era, and
// against reads from a peer's position in an era that the store has left.
TEST_CASE("the era is learnt from a peer") {
  Fixture fixture({{.body = "8", .era = "1"}, {.silent = true}});
  REQUIRE(fixture.RunUntilReads(2));
  fixture.task->MergeFromPeer({BatchCoverage::kSomeRecords,
                               {{"a", "1", {StoreEra{2}, 1}}},
                               {},
                               {StoreEra{2}, 2}});
  CHECK(fixture.task->mirror().end == StorePosition{StoreEra{1}, 8});
  CHECK(fixture.task->era() == StoreEra{2});
  fixture.task->MergeFromPeer(
      {BatchCoverage::kAllKeys, {}, {}, {StoreEra{2}, 5}});
  CHECK(fixture.task->mirror().end == StorePosition{StoreEra{2}, 5});
  CHECK(fixture.new_eras == 2);
}

// Guards against records of an earlier era that are held for ever.
TEST_CASE("the hold of unlisted records ends") {
  Fixture fixture({{.body = "8", .era = "1"},
                   {.body = "99", .era = "1"},
                   {.status = 410, .era = "2"},
                   {.body = "3", .era = "2"}});
  fixture.codec.decode_read = DecodeReadRecord;
  fixture.hold = Milliseconds(200);
  std::vector<std::string> changed;
  fixture.on_change = [&changed](const std::vector<std::string>& keys) {
    changed.insert(changed.end(), keys.begin(), keys.end());
  };
  REQUIRE(fixture.RunUntilReads(5));
  CHECK(changed == std::vector<std::string>{"a"});
  CHECK(CountHeld(fixture.task->mirror()) == 1);
  const Timer timer(fixture.loop, Milliseconds(300), Duration(0),
                    [&fixture] { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(changed == std::vector<std::string>{"a", "a"});
  CHECK_FALSE(fixture.task->mirror().records.at("a").value);
}

constexpr std::size_t kLongBytes = 250'000;

// As DecodeNewestDigit, with a long value that no host can use on the page.
Result<NewestPage> DecodeLongNewest(const std::string& body, StoreEra era) {
  Result<NewestPage> page = DecodeNewestDigit(body, era);
  page.value().records.insert(page.value().records.begin(),
                              {"b", std::string(kLongBytes, 'x'), {era, 1}});
  return page;
}

// As DecodeReadDigits, with a long value that no host can use.
Result<LogPage> DecodeLongRead(const std::string& body, StorePosition from) {
  Result<LogPage> page = DecodeReadDigits(body, from);
  page.value().records.push_back({"c", std::string(kLongBytes, 'x'), from});
  return page;
}

// Guards against a long value that is kept although no host can use it,
// whichever way it came.
TEST_CASE("of a long value that no host can use a summary is kept") {
  Fixture fixture({{200, "2m"}, {200, "2"}, {200, "33"}});
  fixture.codec.decode_newest = DecodeLongNewest;
  fixture.codec.decode_read = DecodeLongRead;
  REQUIRE(fixture.RunUntilReads(4));
  fixture.task->MergeFromPeer({BatchCoverage::kSomeRecords,
                               {{"d", std::string(kLongBytes, 'x'), {{}, 3}}},
                               {},
                               {{}, 3}});
  const auto& records = fixture.task->mirror().records;
  CHECK(fixture.reads[1] == "/newest?after=m");
  CHECK(records.at("m").value == "1");
  CHECK_FALSE(records.at("m").unusable);
  for (const char* key : {"b", "c", "d"}) {
    INFO(key);
    REQUIRE(records.contains(key));
    CHECK(records.at(key).unusable);
    CHECK(IsValueSummary(*records.at(key).value));
    CHECK(records.at(key).value->ends_with("no digit"));
  }
}

// A body that is longer than the client accepts.
std::string TooLargeBody() {
  std::string body;
  body.resize(HttpCall{}.max_response_bytes + 1, '9');
  return body;
}

// Guards against a host that asks again and again for a page of the log that is
// too large, although it could read the newest records.
TEST_CASE("newest records are read in place of a log that is too large") {
  Fixture fixture({{200, "2"}, {200, TooLargeBody()}, {200, "6"}, {200, "66"}});
  REQUIRE(fixture.RunUntilReads(5));
  CHECK(fixture.reads[1].starts_with("/read?from=2"));
  CHECK(fixture.reads[2] == kNewestRead);
  CHECK(fixture.reads[3].starts_with("/read?from=6"));
  CHECK(fixture.read_at[2] - fixture.read_at[1] >= Milliseconds(99));
  CHECK(fixture.contact.answering_since);
  CHECK(fixture.complete == std::vector<std::int64_t>{2, 6, 6});
}

// Guards against records that are not used because a later page of the list is
// too large, and against reads of it without growing pauses.
TEST_CASE("the pages before one that is too large count") {
  Fixture fixture({});
  for (int i = 0; i < 4; ++i) {
    fixture.script.push_back({.body = "2m", .era = "1"});
    fixture.script.push_back({.body = TooLargeBody(), .era = "1"});
  }
  fixture.script.push_back({.body = "2m", .era = "1"});
  fixture.script.push_back({.body = "2", .era = "1"});
  REQUIRE(fixture.RunUntilReads(3));
  CHECK(fixture.task->mirror().records.contains("m"));
  CHECK(fixture.task->mirror().end == StorePosition{});
  CHECK(fixture.complete.empty());
  REQUIRE(fixture.RunUntilReads(11));
  for (const std::size_t i : {1U, 3U, 5U, 7U}) {
    INFO("read " << i);
    CHECK(fixture.reads[i] == "/newest?after=m");
    CHECK(fixture.reads[i + 1] == kNewestRead);
    CHECK(fixture.read_at[i + 1] - fixture.read_at[i] >=
          Milliseconds((50 << ((i + 1) / 2)) - 1));
  }
  CHECK(fixture.complete == std::vector<std::int64_t>{2});
  CHECK(fixture.reads[10].starts_with("/read?from=2"));
}

}  // namespace
}  // namespace toucanhollow
