#include "relay/quarantine_store_task.h"

#include <algorithm>
#include <utility>

#include "json_log/json_log.h"
#include "traffic/read_timing.h"

namespace toucanhollow {
namespace {

constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr Duration kResponseTimeout = Milliseconds(1500);
constexpr Duration kRetryDelay = Seconds(1);
// The other hosts know the quarantine; the record serves operators, and hosts
// that start after a loss of all others.
constexpr int kMaxWriteAttempts = 60;

}  // namespace

QuarantineStoreTask::QuarantineStoreTask(EventLoop& loop,
                                         HttpClient& client,
                                         const RelayCodec& codec,
                                         Address store,
                                         std::string host,
                                         QuarantineStoreCallbacks callbacks)
    : loop(loop),
      client(client),
      codec(codec),
      store(std::move(store)),
      callbacks(std::move(callbacks)),
      rewrite(
          loop,
          client,
          codec,
          this->store,
          std::move(host),
          {this->callbacks.list_in_force,
           [this](const QuarantineRecord& record) { this->Write(record); }}) {
  this->Read("");
}

QuarantineStoreTask::~QuarantineStoreTask() {
  this->client.Cancel(this->read_call);
  for (const auto& [key, record] : this->pending) {
    this->client.Cancel(record.call);
  }
}

void QuarantineStoreTask::Read(const std::string& after) {
  HttpCall call =
      this->codec.newest_call(this->store, KeyedTopic::kStatus, after);
  call.connection = ConnectionUse::kOwn;
  call.connect_timeout = kConnectTimeout;
  call.total_timeout = kResponseTimeout;
  this->read_call = this->client.Start(
      std::move(call), {nullptr, nullptr, [this](const HttpOutcome& outcome) {
                          this->OnPage(outcome);
                        }});
}

void QuarantineStoreTask::OnPage(const HttpOutcome& outcome) {
  this->read_call = 0;
  const bool answered =
      outcome.end == HttpEnd::kComplete && outcome.status == 200;
  const Result<StoreEra> era =
      answered ? this->codec.decode_era(outcome.headers)
               : Result<StoreEra>(
                     MakeFailure(ResultCode::kLogUnreachable, outcome.error));
  const Result<NewestPage> page =
      era ? this->codec.decode_newest(outcome.body, era.value())
          : Result<NewestPage>(era.error());
  if (!page) {
    const bool too_large = outcome.end == HttpEnd::kResponseTooLarge;
    if (too_large && this->consecutive_too_large == 0) {
      LogJsonNow("store_answer_too_large",
                 {{"topic", "status"},
                  {"of_log", false},
                  {"detail", std::string_view(outcome.error)}});
    }
    const Duration pause = too_large
                               ? FindTooLargePause(this->consecutive_too_large)
                               : Duration(0);
    this->consecutive_too_large =
        too_large ? this->consecutive_too_large + 1 : 0;
    this->read_retry =
        std::make_unique<Timer>(this->loop, std::max(kRetryDelay, pause),
                                Duration(0), [this] { this->Read(""); });
    return;
  }
  this->rewrite.OnEra(era.value());
  for (const KeyedRecord& item : page.value().records) {
    if (!item.value ||
        !item.key.starts_with(this->codec.quarantine_key_prefix)) {
      continue;
    }
    const Result<QuarantineRecord> record =
        this->codec.decode_quarantine(*item.value);
    if (record) {
      this->callbacks.on_record(record.value());
    } else {
      LogJsonNow("quarantine_record_refused",
                 {{"key", std::string_view(item.key)},
                  {"detail", std::string_view(record.error().detail)}});
    }
  }
  if (page.value().has_more) {
    this->Read(page.value().records.back().key);
    return;
  }
  this->callbacks.on_loaded();
}

void QuarantineStoreTask::Write(const QuarantineRecord& record) {
  const std::string key =
      this->codec.quarantine_key_prefix +
      QuarantineKey(IdentifyParts(record.service, record.parts));
  Pending& entry = this->pending[key];
  this->client.Cancel(entry.call);
  entry = Pending{};
  entry.value = this->codec.encode_quarantine(record);
  this->Append(key);
}

void QuarantineStoreTask::Append(const std::string& key) {
  Pending& entry = this->pending.at(key);
  ++entry.attempts;
  HttpCall call = this->codec.append_call(this->store, KeyedTopic::kStatus, key,
                                          entry.value);
  call.connection = ConnectionUse::kOwn;
  call.connect_timeout = kConnectTimeout;
  call.total_timeout = kResponseTimeout;
  entry.call = this->client.Start(
      std::move(call), {nullptr, nullptr, [this, key](const HttpOutcome& end) {
                          this->OnAppended(key, end);
                        }});
}

void QuarantineStoreTask::OnAppended(const std::string& key,
                                     const HttpOutcome& outcome) {
  Pending& entry = this->pending.at(key);
  entry.call = 0;
  if (outcome.end == HttpEnd::kComplete && outcome.status == 200 &&
      this->IsOfCurrentEra(outcome)) {
    this->pending.erase(key);
    return;
  }
  if (entry.attempts == 1 || entry.attempts >= kMaxWriteAttempts) {
    LogJsonNow("quarantine_record_not_written",
               {{"key", std::string_view(key)},
                {"status", std::int64_t{outcome.status}},
                {"detail", std::string_view(outcome.error)},
                {"given_up", entry.attempts >= kMaxWriteAttempts}});
  }
  if (entry.attempts >= kMaxWriteAttempts) {
    this->pending.erase(key);
    return;
  }
  entry.retry = std::make_unique<Timer>(this->loop, kRetryDelay, Duration(0),
                                        [this, key] { this->Append(key); });
}

bool QuarantineStoreTask::IsOfCurrentEra(const HttpOutcome& outcome) {
  const Result<StoreEra> era = this->codec.decode_era(outcome.headers);
  if (!era) {
    return false;
  }
  this->rewrite.OnEra(era.value());
  return era.value() == this->rewrite.era();
}

}  // namespace toucanhollow
