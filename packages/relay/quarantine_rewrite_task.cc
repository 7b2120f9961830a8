#include "relay/quarantine_rewrite_task.h"

#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr Duration kResponseTimeout = Milliseconds(1500);
constexpr Duration kRetryDelay = Seconds(1);
constexpr int kMaxAttempts = 60;

}  // namespace

QuarantineRewriteTask::QuarantineRewriteTask(
    EventLoop& loop,
    HttpClient& client,
    const RelayCodec& codec,
    Address store,
    std::string host,
    QuarantineRewriteCallbacks callbacks)
    : loop(loop),
      client(client),
      codec(codec),
      store(std::move(store)),
      host(std::move(host)),
      callbacks(std::move(callbacks)) {}

QuarantineRewriteTask::~QuarantineRewriteTask() {
  this->client.Cancel(this->call);
}

void QuarantineRewriteTask::OnEra(StoreEra era) {
  if (!this->latest_era) {
    this->latest_era = era;
    return;
  }
  if (era <= *this->latest_era) {
    return;
  }
  this->latest_era = era;
  this->client.Cancel(std::exchange(this->call, 0));
  this->retry.reset();
  this->Schedule(Scope::kOwnTests, OwnCheckDelay(this->host, era));
  this->Schedule(Scope::kAll, OtherCheckDelay(this->host, era));
}

void QuarantineRewriteTask::Schedule(Scope scope, Duration delay) {
  this->due[scope] = std::make_unique<Timer>(
      this->loop, delay, Duration(0), [this, scope] { this->Check(scope); });
}

std::vector<QuarantineRecord> QuarantineRewriteTask::ListInForce(
    Scope scope) const {
  std::vector<QuarantineRecord> records;
  for (QuarantineInForce& entry : this->callbacks.list_in_force()) {
    if (scope == Scope::kAll || entry.is_own_test) {
      records.push_back(std::move(entry.record));
    }
  }
  return records;
}

void QuarantineRewriteTask::Check(Scope scope) {
  this->client.Cancel(std::exchange(this->call, 0));
  this->retry.reset();
  if (this->ListInForce(scope).empty()) {
    return;
  }
  this->scope = scope;
  this->attempts = 0;
  this->stored.clear();
  this->Read("");
}

void QuarantineRewriteTask::Read(const std::string& after) {
  HttpCall call =
      this->codec.newest_call(this->store, KeyedTopic::kStatus, after);
  call.connection = ConnectionUse::kOwn;
  call.connect_timeout = kConnectTimeout;
  call.total_timeout = kResponseTimeout;
  this->call = this->client.Start(
      std::move(call), {nullptr, nullptr, [this](const HttpOutcome& outcome) {
                          this->OnPage(outcome);
                        }});
}

void QuarantineRewriteTask::OnPage(const HttpOutcome& outcome) {
  this->call = 0;
  if (outcome.end != HttpEnd::kComplete || outcome.status != 200) {
    this->Retry();
    return;
  }
  const Result<StoreEra> era = this->codec.decode_era(outcome.headers);
  if (!era || era.value() < this->era()) {
    this->Retry();
    return;
  }
  if (era.value() > this->era()) {
    this->OnEra(era.value());
    return;
  }
  const Result<NewestPage> page =
      this->codec.decode_newest(outcome.body, era.value());
  if (!page) {
    this->Retry();
    return;
  }
  const std::string& prefix = this->codec.quarantine_key_prefix;
  for (const KeyedRecord& item : page.value().records) {
    if (!item.value || !item.key.starts_with(prefix)) {
      continue;
    }
    const Result<QuarantineRecord> record =
        this->codec.decode_quarantine(*item.value);
    // One that cannot be read counts as lost.
    if (record) {
      this->stored[item.key.substr(prefix.size())] = record.value();
    }
  }
  if (page.value().has_more && !page.value().records.empty()) {
    this->Read(page.value().records.back().key);
    return;
  }
  this->WriteLost();
}

void QuarantineRewriteTask::Retry() {
  if (++this->attempts >= kMaxAttempts) {
    LogJsonNow("quarantine_records_not_checked",
               {{"era", this->era().value},
                {"attempts", std::int64_t{this->attempts}}});
    return;
  }
  this->stored.clear();
  this->retry = std::make_unique<Timer>(this->loop, kRetryDelay, Duration(0),
                                        [this] { this->Read(""); });
}

void QuarantineRewriteTask::WriteLost() {
  const std::vector<QuarantineRecord> in_force = this->ListInForce(this->scope);
  const std::vector<QuarantineRecord> lost =
      FindLostRecords(in_force, this->stored);
  LogJsonNow("quarantine_records_checked",
             {{"era", this->era().value},
              {"in_force", static_cast<std::int64_t>(in_force.size())},
              {"written_again", static_cast<std::int64_t>(lost.size())}});
  for (const QuarantineRecord& record : lost) {
    this->callbacks.write(record);
  }
}

}  // namespace toucanhollow
