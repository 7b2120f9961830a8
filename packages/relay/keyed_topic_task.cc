#include "relay/keyed_topic_task.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "json_log/json_log.h"
#include "traffic/unusable_values.h"

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
                               std::uint64_t spread_seed,
                               KeyedTopicCallbacks callbacks)
    : loop(loop),
      client(loop, 1),
      codec(codec),
      store(std::move(store)),
      topic(topic),
      timing(timing),
      new_era_delay(static_cast<Duration::rep>(
          spread_seed % static_cast<std::uint64_t>(kMaxNewEraDelay.count()))),
      callbacks(std::move(callbacks)) {
  this->rules.order = [this](const std::string& key, const std::string& value) {
    return this->codec.decode_order(this->topic, key, value);
  };
  this->rules.is_permanent = [this](const std::string& key) {
    return this->topic == KeyedTopic::kOperator &&
           this->codec.decode_operator_key(key).kind ==
               OperatorKeyKind::kTraffic;
  };
  this->rules.read_value = [this](const std::string& key,
                                  const std::string& value) {
    return this->ReadValue(key, value);
  };
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
  if (this->following_log && this->records.end.era == this->latest_era) {
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
      [this, is_first_page = after.empty()](const HttpOutcome& outcome) {
        this->OnNewest(outcome, is_first_page);
      });
}

bool KeyedTopicTask::AdoptEra(const HttpOutcome& outcome) {
  if (outcome.end != HttpEnd::kComplete) {
    return true;
  }
  const Result<StoreEra> named = this->codec.decode_era(outcome.headers);
  if (!named) {
    LogJsonNow("store_answer_malformed",
               {{"topic", TopicName(this->topic)},
                {"detail", std::string_view(named.error().detail)}});
    return false;
  }
  if (named.value() < this->latest_era) {
    LogJsonNow("store_answer_outdated",
               {{"topic", TopicName(this->topic)},
                {"era", named.value().value},
                {"latest_era", this->latest_era.value}});
    return false;
  }
  this->latest_era = named.value();
  return true;
}

void KeyedTopicTask::StartNewEra() {
  this->following_log = false;
  this->Schedule(this->new_era_delay);
}

void KeyedTopicTask::OnNewest(const HttpOutcome& outcome, bool is_first_page) {
  if (outcome.end == HttpEnd::kResponseTooLarge) {
    this->OnTooLarge(outcome, /*of_log=*/false);
    return;
  }
  const bool usable = this->AdoptEra(outcome);
  if (outcome.end != HttpEnd::kComplete || outcome.status != 200 || !usable) {
    this->OnFailed(outcome);
    return;
  }
  // Pages of two eras do not form a list of all keys.
  if (!is_first_page && this->snapshot_end.era != this->latest_era) {
    this->OnAnswered();
    this->StartNewEra();
    return;
  }
  Result<NewestPage> page =
      this->codec.decode_newest(outcome.body, this->latest_era);
  if (!page) {
    LogJsonNow("store_answer_malformed",
               {{"topic", TopicName(this->topic)},
                {"detail", std::string_view(page.error().detail)}});
    this->OnFailed(outcome);
    return;
  }
  this->OnAnswered();
  if (is_first_page) {
    // Records written while the pages are read are read again from this offset.
    this->snapshot_end = page.value().end;
    this->snapshot_read_at = EventLoop::Now();
  }
  const bool has_more = page.value().has_more;
  const std::string last_key = has_more ? page.value().records.back().key : "";
  this->ReduceUnused(page.value().records);
  this->ReportDropped(
      AppendPage(this->snapshot_records, std::move(page.value().records)));
  if (has_more) {
    this->ReadNewest(last_key);
    return;
  }
  RecordBatch batch;
  batch.coverage = BatchCoverage::kAllKeys;
  batch.records = std::exchange(this->snapshot_records, {});
  batch.end = this->snapshot_end;
  this->following_log = true;
  this->NotifyChange(this->Merge(batch));
  this->callbacks.on_complete(this->snapshot_read_at);
  this->Schedule(Duration(0));
}

void KeyedTopicTask::ReadLog() {
  const StorePosition from = this->records.end;
  // While reads fail, an answer without new records is news as well.
  const Duration wait = this->consecutive_failures == 0
                            ? this->timing.long_poll_wait
                            : Duration(0);
  this->StartCall(
      this->codec.read_call(this->store, this->topic, from, wait), wait,
      [this, from](const HttpOutcome& outcome) { this->OnLog(outcome, from); });
}

void KeyedTopicTask::OnGone(StorePosition from) {
  LogJsonNow("store_history_dropped", {{"topic", TopicName(this->topic)},
                                       {"era", from.era.value},
                                       {"offset", from.number}});
  this->OnAnswered();
  this->following_log = false;
  // The newest records may not reach the position either.
  const int repeats = std::min(this->consecutive_gone, kMaxRetryDoublings + 1);
  ++this->consecutive_gone;
  this->Schedule(repeats == 0 ? Duration(0)
                              : kInitialRetryPeriod * (1 << (repeats - 1)));
}

void KeyedTopicTask::OnLog(const HttpOutcome& outcome, StorePosition from) {
  if (outcome.end == HttpEnd::kResponseTooLarge) {
    this->OnTooLarge(outcome, /*of_log=*/true);
    return;
  }
  const bool usable = this->AdoptEra(outcome);
  const bool is_answer =
      outcome.end == HttpEnd::kComplete &&
      (outcome.status == 200 || outcome.status == kStatusGone);
  if (!is_answer || !usable) {
    this->OnFailed(outcome);
    return;
  }
  if (from.era != this->latest_era) {
    // The offset that was read names another record, or none, in this era.
    this->OnAnswered();
    this->StartNewEra();
    return;
  }
  if (outcome.status == kStatusGone) {
    this->OnGone(from);
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
                {"era", from.era.value},
                {"offset", from.number},
                {"count", std::int64_t{page.value().unreadable_records}}});
  }
  this->OnAnswered();
  this->consecutive_gone = 0;
  this->consecutive_too_large = 0;
  this->ReduceUnused(page.value().records);
  this->NotifyChange(
      this->Merge({BatchCoverage::kChanges, std::move(page.value().records),
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
                              {"era", this->latest_era.value},
                              {"offset", this->records.end.number}});
  }
  const TimePoint now = EventLoop::Now();
  this->contact = RecordAnswer(this->contact, now);
  if (this->latest_era != this->answered_era) {
    if (this->last_answer_at != TimePoint()) {
      this->contact = RecordRestore(this->contact, this->last_answer_at, now);
    }
    this->answered_era = this->latest_era;
  }
  this->last_answer_at = now;
  this->callbacks.on_contact(this->contact);
}

void KeyedTopicTask::OnFailed(const HttpOutcome& outcome) {
  const bool may_be_connection = this->consecutive_failures == 0 &&
                                 outcome.status == 0 &&
                                 outcome.end != HttpEnd::kNotConnected;
  const ReadFailure failure = may_be_connection
                                  ? ReadFailure::kConnectionLost
                                  : ReadFailure::kStoreUnavailable;
  const Duration period =
      kInitialRetryPeriod *
      (1 << std::min(this->consecutive_failures, kMaxRetryDoublings));
  this->RecordFailedRead(outcome, failure);
  if (may_be_connection) {
    this->Schedule(Duration(0));
    return;
  }
  const Duration since_sent = EventLoop::Now() - this->sent_at;
  this->Schedule(std::max(period - since_sent, kMinRetryDelay));
}

void KeyedTopicTask::OnTooLarge(const HttpOutcome& outcome, bool of_log) {
  const int earlier = this->consecutive_too_large++;
  if (earlier == 0) {
    LogJsonNow("store_answer_too_large",
               {{"topic", TopicName(this->topic)},
                {"of_log", of_log},
                {"era", this->records.end.era.value},
                {"offset", this->records.end.number},
                {"detail", std::string_view(outcome.error)}});
  }
  this->RecordFailedRead(outcome, ReadFailure::kStoreUnavailable);
  // A log without a position in the latest era is not read, see ReadNext.
  this->following_log = !of_log;
  this->Schedule(FindTooLargePause(earlier));
  // What the pages before this one list counts. Records of an era that the
  // mirror is not in wait for the list of all keys.
  const std::vector<KeyedRecord> read =
      std::exchange(this->snapshot_records, {});
  if (!read.empty() && (this->records.end == StorePosition{} ||
                        this->records.end.era == this->snapshot_end.era)) {
    this->NotifyChange(
        this->Merge({BatchCoverage::kSomeRecords, read, {}, {}}));
  }
}

void KeyedTopicTask::RecordFailedRead(const HttpOutcome& outcome,
                                      ReadFailure failure) {
  if (this->consecutive_failures++ == 0) {
    LogJsonNow("store_lost",
               {{"topic", TopicName(this->topic)},
                {"status", static_cast<std::int64_t>(outcome.status)},
                {"detail", std::string_view(outcome.error)},
                {"era", this->records.end.era.value},
                {"offset", this->records.end.number}});
  }
  this->contact = RecordFailure(this->contact, failure, this->sent_at);
  this->callbacks.on_contact(this->contact);
}

void KeyedTopicTask::MergeFromPeer(const RecordBatch& batch) {
  const StorePosition before = this->records.end;
  this->latest_era = std::max(this->latest_era, batch.end.era);
  RecordBatch reduced = batch;
  this->ReduceUnused(reduced.records);
  const std::vector<std::string> changed = this->Merge(reduced);
  if (this->records.end > before) {
    // Without a complete read so far, the batch takes its place.
    this->following_log = true;
    if (batch.coverage == BatchCoverage::kAllKeys) {
      LogJsonNow("all_keys_from_peer", {{"topic", TopicName(this->topic)},
                                        {"from_era", before.era.value},
                                        {"from", before.number},
                                        {"era", this->records.end.era.value},
                                        {"offset", this->records.end.number}});
    }
  }
  this->NotifyChange(changed);
}

std::vector<std::string> KeyedTopicTask::Merge(const RecordBatch& batch) {
  const StorePosition before = this->records.end;
  const std::uint64_t dropped_before = this->records.dropped_unusable;
  std::vector<std::string> changed =
      MergeBatch(this->records, batch, this->rules);
  this->ReportDropped(this->records.dropped_unusable - dropped_before);
  if (this->records.end.era != before.era) {
    this->OnEraEntered(before, changed.size());
  }
  return changed;
}

ValueReading KeyedTopicTask::ReadValue(const std::string& key,
                                       const std::string& value) const {
  if (this->topic != KeyedTopic::kOperator) {
    const Result<ListedServer> server = this->codec.decode_server(key, value);
    return server ? ValueReading{}
                  : ValueReading{ValueUse::kNone, server.error().detail};
  }
  switch (this->codec.decode_operator_key(key).kind) {
    case OperatorKeyKind::kTraffic:
      // One key. A host answers by a configuration that it cannot read, too.
      return {};
    case OperatorKeyKind::kEvacuation:
      return {ValueUse::kPresence, "only the key counts"};
    case OperatorKeyKind::kPromptRule: {
      const Result<PromptRuleRecord> rule =
          this->codec.decode_prompt_rule(value);
      return rule ? ValueReading{}
                  : ValueReading{ValueUse::kNone, rule.error().detail};
    }
    case OperatorKeyKind::kOther:
      break;
  }
  return {ValueUse::kNone, "the key is not known"};
}

void KeyedTopicTask::ReduceUnused(std::vector<KeyedRecord>& records) {
  const std::size_t replaced = ReduceUnusedValues(records, this->rules);
  if (replaced == 0 || std::exchange(this->logged_replaced, true)) {
    return;
  }
  const auto first = std::ranges::find_if(records, [](const auto& record) {
    return record.value && IsValueSummary(*record.value);
  });
  LogJsonNow("store_value_summarized",
             {{"topic", TopicName(this->topic)},
              {"key", std::string_view(first->key)},
              {"era", first->position.era.value},
              {"offset", first->position.number},
              {"detail", std::string_view(*first->value)},
              {"max_bytes", static_cast<std::int64_t>(kMaxUnusedValueBytes)}});
}

void KeyedTopicTask::ReportDropped(std::uint64_t dropped) {
  if (dropped == 0 || std::exchange(this->logged_dropped, true)) {
    return;
  }
  LogJsonNow("store_unusable_dropped",
             {{"topic", TopicName(this->topic)},
              {"dropped", static_cast<std::int64_t>(dropped)},
              {"max_records", static_cast<std::int64_t>(kMaxUnusableRecords)}});
}

std::size_t KeyedTopicTask::CountValues() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->records.records,
      [](const auto& entry) { return entry.second.value.has_value(); }));
}

void KeyedTopicTask::OnEraEntered(StorePosition before, std::size_t changed) {
  const TimePoint now = EventLoop::Now();
  const auto held = CountHeld(this->records);
  LogJsonNow("store_era_entered",
             {{"topic", TopicName(this->topic)},
              {"from_era", before.era.value},
              {"from", before.number},
              {"era", this->records.end.era.value},
              {"offset", this->records.end.number},
              {"changed", static_cast<std::int64_t>(changed)},
              {"held", static_cast<std::int64_t>(held)},
              {"values", static_cast<std::int64_t>(this->CountValues())}});
  const TimePoint hold_end = this->callbacks.on_new_era(now);
  this->hold_timer = std::make_unique<Timer>(
      this->loop, std::max(hold_end - now, Duration(0)), Duration(0),
      [this] { this->EndHeld(HeldKind::kValues); });
}

void KeyedTopicTask::EndHeld(HeldKind kind) {
  const std::vector<std::string> changed =
      EndHolds(this->records, kind, this->rules);
  if (!changed.empty()) {
    LogJsonNow("store_hold_ended",
               {{"topic", TopicName(this->topic)},
                {"era", this->records.end.era.value},
                {"removals", kind == HeldKind::kRemovals},
                {"dropped", static_cast<std::int64_t>(changed.size())},
                {"held", static_cast<std::int64_t>(CountHeld(this->records))}});
  }
  if (kind == HeldKind::kValues) {
    this->hold_timer =
        std::make_unique<Timer>(this->loop, kRemovalHoldTime, Duration(0),
                                [this] { this->EndHeld(HeldKind::kRemovals); });
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
