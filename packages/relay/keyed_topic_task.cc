#include "relay/keyed_topic_task.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

constexpr Duration kConnectTimeout = Milliseconds(600);
// Time from one failed read to the next, doubled after each further failure up
// to the maximum. It counts from the sending of the failed read, so that a host
// whose reads get no answer does not notice the store's return later than one
// whose reads are refused; the pause after the failure has a minimum.
constexpr Duration kInitialRetryPeriod = Milliseconds(100);
constexpr int kMaxRetryDoublings = 2;
constexpr Duration kMinRetryDelay = Milliseconds(100);

constexpr int kStatusGone = 410;

std::string_view TopicName(KeyedTopic topic) {
  return topic == KeyedTopic::kOperator ? "operator" : "servers";
}

}  // namespace

KeyedTopicTask::KeyedTopicTask(EventLoop& loop,
                               const RelayCodec& codec,
                               Address store,
                               KeyedTopic topic,
                               ReadTiming timing,
                               KeyedTopicCallbacks callbacks)
    : loop(loop),
      client(loop, 1),
      codec(codec),
      store(std::move(store)),
      topic(topic),
      timing(timing),
      callbacks(std::move(callbacks)) {
  this->ReadNewest("");
}

KeyedTopicTask::~KeyedTopicTask() {
  this->client.Cancel(this->call);
}

void KeyedTopicTask::Schedule(Duration delay) {
  this->timer = std::make_unique<Timer>(this->loop, delay, Duration(0), [this] {
    this->RunOrRetry([this] { this->ReadNext(); });
  });
}

void KeyedTopicTask::RunOrRetry(const std::function<void()>& step) {
  try {
    step();
  } catch (...) {
    this->Schedule(kMinRetryDelay);
    throw;
  }
}

void KeyedTopicTask::ReadNext() {
  if (this->following_log) {
    this->ReadLog();
  } else {
    this->ReadNewest("");
  }
}

void KeyedTopicTask::StartCall(
    HttpCall request,
    Duration wait,
    std::function<void(const HttpOutcome& outcome)> on_done) {
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = wait + kAnswerTimeout;
  request.repeatable = true;
  // After a failure only a new connection tells whether the store is available.
  request.connection = this->consecutive_failures == 0 ? ConnectionUse::kShared
                                                       : ConnectionUse::kNew;
  this->sent_at = EventLoop::Now();
  this->call = this->client.Start(
      std::move(request),
      {nullptr, nullptr,
       [this, on_done = std::move(on_done)](const HttpOutcome& outcome) {
         this->RunOrRetry([&] { on_done(outcome); });
       }});
}

void KeyedTopicTask::ReadNewest(const std::string& after) {
  if (after.empty()) {
    this->snapshot_records.clear();
  }
  this->StartCall(
      this->codec.newest_call(this->store, this->topic, after), Duration(0),
      [this](const HttpOutcome& outcome) { this->OnNewest(outcome); });
}

void KeyedTopicTask::OnNewest(const HttpOutcome& outcome) {
  if (outcome.end != HttpEnd::kComplete || outcome.status != 200) {
    this->OnFailed(outcome);
    return;
  }
  Result<NewestPage> page = this->codec.decode_newest(outcome.body);
  if (!page) {
    LogJsonNow("store_answer_malformed",
               {{"topic", TopicName(this->topic)},
                {"detail", std::string_view(page.error().detail)}});
    this->OnFailed(outcome);
    return;
  }
  this->OnAnswered();
  if (this->snapshot_records.empty()) {
    // Records written while the pages are read are read again from this offset.
    this->snapshot_end = page.value().end;
    this->snapshot_read_at = EventLoop::Now();
  }
  std::ranges::move(page.value().records,
                    std::back_inserter(this->snapshot_records));
  if (page.value().has_more) {
    this->ReadNewest(this->snapshot_records.back().key);
    return;
  }
  RecordBatch batch;
  batch.coverage = BatchCoverage::kAllKeys;
  batch.records = std::exchange(this->snapshot_records, {});
  batch.end = this->snapshot_end;
  this->following_log = true;
  this->NotifyChange(MergeBatch(this->records, batch));
  this->callbacks.on_complete(this->snapshot_read_at);
  this->Schedule(Duration(0));
}

void KeyedTopicTask::ReadLog() {
  const LogOffset from = this->records.end;
  // While reads fail, an answer without new records is news as well.
  const Duration wait = this->consecutive_failures == 0
                            ? this->timing.long_poll_wait
                            : Duration(0);
  this->StartCall(
      this->codec.read_call(this->store, this->topic, from, wait), wait,
      [this, from](const HttpOutcome& outcome) { this->OnLog(outcome, from); });
}

void KeyedTopicTask::OnLog(const HttpOutcome& outcome, LogOffset from) {
  if (outcome.end == HttpEnd::kComplete && outcome.status == kStatusGone) {
    LogJsonNow("store_history_dropped",
               {{"topic", TopicName(this->topic)}, {"offset", from}});
    this->OnAnswered();
    this->following_log = false;
    this->Schedule(Duration(0));
    return;
  }
  if (outcome.end != HttpEnd::kComplete || outcome.status != 200) {
    this->OnFailed(outcome);
    return;
  }
  Result<LogPage> page = this->codec.decode_read(outcome.body, from);
  if (!page) {
    LogJsonNow("store_answer_malformed",
               {{"topic", TopicName(this->topic)},
                {"detail", std::string_view(page.error().detail)}});
    this->OnFailed(outcome);
    return;
  }
  if (page.value().unreadable_records > 0) {
    LogJsonNow("store_records_unreadable",
               {{"topic", TopicName(this->topic)},
                {"offset", from},
                {"count", std::int64_t{page.value().unreadable_records}}});
  }
  this->OnAnswered();
  this->NotifyChange(MergeBatch(
      this->records, {BatchCoverage::kChanges, std::move(page.value().records),
                      from, page.value().next}));
  const bool reached_end = page.value().next >= page.value().end;
  if (reached_end) {
    this->callbacks.on_complete(EventLoop::Now());
  }
  this->Schedule(reached_end ? this->timing.read_delay : Duration(0));
}

void KeyedTopicTask::OnAnswered() {
  if (std::exchange(this->consecutive_failures, 0) > 0) {
    LogJsonNow("store_back", {{"topic", TopicName(this->topic)},
                              {"offset", this->records.end}});
  }
  this->contact = RecordAnswer(this->contact, EventLoop::Now());
  this->callbacks.on_contact(this->contact);
}

void KeyedTopicTask::OnFailed(const HttpOutcome& outcome) {
  const bool may_be_connection = this->consecutive_failures == 0 &&
                                 outcome.status == 0 &&
                                 outcome.end != HttpEnd::kNotConnected;
  const ReadFailure failure = may_be_connection
                                  ? ReadFailure::kConnectionLost
                                  : ReadFailure::kStoreUnavailable;
  if (this->consecutive_failures == 0) {
    LogJsonNow("store_lost",
               {{"topic", TopicName(this->topic)},
                {"status", static_cast<std::int64_t>(outcome.status)},
                {"detail", std::string_view(outcome.error)},
                {"offset", this->records.end}});
  }
  this->contact = RecordFailure(this->contact, failure, this->sent_at);
  this->callbacks.on_contact(this->contact);
  const Duration period =
      kInitialRetryPeriod *
      (1 << std::min(this->consecutive_failures, kMaxRetryDoublings));
  ++this->consecutive_failures;
  if (may_be_connection) {
    this->Schedule(Duration(0));
    return;
  }
  const Duration since_sent = EventLoop::Now() - this->sent_at;
  this->Schedule(std::max(period - since_sent, kMinRetryDelay));
}

void KeyedTopicTask::MergeFromPeer(const RecordBatch& batch) {
  const LogOffset before = this->records.end;
  const std::vector<std::string> changed = MergeBatch(this->records, batch);
  if (this->records.end > before) {
    // Without a complete read so far, the batch takes its place.
    this->following_log = true;
    if (batch.coverage == BatchCoverage::kAllKeys) {
      LogJsonNow("all_keys_from_peer", {{"topic", TopicName(this->topic)},
                                        {"from", before},
                                        {"offset", this->records.end}});
    }
  }
  this->NotifyChange(changed);
}

void KeyedTopicTask::NotifyChange(const std::vector<std::string>& keys) {
  this->changed_keys.insert(keys.begin(), keys.end());
  if (!this->changed_keys.empty()) {
    this->callbacks.on_change(
        {this->changed_keys.begin(), this->changed_keys.end()});
    this->changed_keys.clear();
  }
}

}  // namespace toucanhollow
