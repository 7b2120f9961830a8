#include "relay/keyed_topic_task.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// Time allowed for an answer beyond the long-poll wait. A slow store takes
// 250 ms.
constexpr Duration kResponseTimeout = Milliseconds(900);
constexpr Duration kConnectTimeout = Milliseconds(600);
// Delay after a failed read, doubled after each further failure up to the
// maximum.
constexpr Duration kInitialRetryDelay = Milliseconds(100);
constexpr Duration kMaxRetryDelay = Milliseconds(400);

constexpr int kStatusGone = 410;

std::string_view TopicName(KeyedTopic topic) {
  return topic == KeyedTopic::kOperator ? "operator" : "servers";
}

}  // namespace

KeyedTopicTask::KeyedTopicTask(EventLoop& loop,
                               HttpClient& client,
                               const RelayCodec& codec,
                               Address store,
                               KeyedTopic topic,
                               PollTiming timing,
                               KeyedTopicCallbacks callbacks)
    : loop(loop),
      client(client),
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
  this->timer = std::make_unique<Timer>(this->loop, delay, Duration(0),
                                        [this] { this->ReadNext(); });
}

void KeyedTopicTask::ReadNext() {
  if (this->following_log) {
    this->ReadLog();
  } else {
    this->ReadNewest("");
  }
}

void KeyedTopicTask::ReadNewest(const std::string& after) {
  if (after.empty()) {
    this->snapshot_records.clear();
  }
  HttpCall request = this->codec.newest_call(this->store, this->topic, after);
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kResponseTimeout;
  request.repeatable = !this->failing;
  this->call = this->client.Start(
      std::move(request),
      {nullptr, nullptr,
       [this](const HttpOutcome& outcome) { this->OnNewest(outcome); }});
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
  this->Schedule(Duration(0));
}

void KeyedTopicTask::ReadLog() {
  const LogOffset from = this->records.end;
  HttpCall request = this->codec.read_call(this->store, this->topic, from,
                                           this->timing.long_poll_wait);
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = this->timing.long_poll_wait + kResponseTimeout;
  request.repeatable = !this->failing;
  this->call = this->client.Start(
      std::move(request),
      {nullptr, nullptr, [this, from](const HttpOutcome& outcome) {
         this->OnLog(outcome, from);
       }});
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
  this->OnAnswered();
  this->NotifyChange(MergeBatch(
      this->records, {BatchCoverage::kChanges, std::move(page.value().records),
                      from, page.value().next}));
  this->Schedule(this->timing.read_delay);
}

void KeyedTopicTask::OnAnswered() {
  this->consecutive_failures = 0;
  if (std::exchange(this->failing, false)) {
    LogJsonNow("store_back", {{"topic", TopicName(this->topic)},
                              {"offset", this->records.end}});
  }
  this->callbacks.on_contact(true);
}

void KeyedTopicTask::OnFailed(const HttpOutcome& outcome) {
  if (!std::exchange(this->failing, true)) {
    LogJsonNow("store_lost",
               {{"topic", TopicName(this->topic)},
                {"status", static_cast<std::int64_t>(outcome.status)},
                {"detail", std::string_view(outcome.error)},
                {"offset", this->records.end}});
  }
  this->callbacks.on_contact(false);
  const Duration delay =
      kInitialRetryDelay * (1 << std::min(this->consecutive_failures, 4));
  ++this->consecutive_failures;
  this->Schedule(std::min(delay, kMaxRetryDelay));
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
  if (!keys.empty()) {
    this->callbacks.on_change(keys);
  }
}

}  // namespace toucanhollow
