#include "relay/platform_view_task.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "json_log/json_log.h"
#include "traffic/unusable_values.h"

namespace toucanhollow {
namespace {

// Configurations that are published within this time are read together.
constexpr Duration kOperatorReadDelay = Milliseconds(100);
// The delay between two reads of the servers, whose heartbeats make every read
// return at once, is the drain bound divided by this. The rest of the bound is
// for the reads themselves.
constexpr int kDrainBoundDivisor = 2;
// Only one host at a time is the coordinator, so its more frequent reads cost
// the store little.
constexpr Duration kCoordinatorReadDelay = Milliseconds(200);

// True if a renewed entry changes nothing about where requests may go.
bool IsSameToRequests(const KnownServer& before, const KnownServer& after) {
  return !before.missing_since &&
         before.listed.start_time_ms == after.listed.start_time_ms &&
         before.listed.draining == after.listed.draining &&
         before.listed.address == after.listed.address;
}

// Why the record is refused. A summary has the reason of the value that it
// replaces.
std::string_view RefusalDetail(const KeyedRecord& record,
                               const Failure& failure) {
  return IsValueSummary(*record.value) ? std::string_view(*record.value)
                                       : std::string_view(failure.detail);
}

}  // namespace

bool HasStoreContact(const PlatformView& view) {
  return view.operator_contact.answering_since &&
         view.server_contact.answering_since;
}

bool IsTrafficConfigFresh(const PlatformView& view, TimePoint now) {
  return view.traffic_confirmed_at &&
         now - *view.traffic_confirmed_at <= view.max_confirmation_age;
}

PlatformViewTask::PlatformViewTask(EventLoop& loop,
                                   const RelayCodec& codec,
                                   const RelaySettings& settings,
                                   std::function<void()> on_change)
    : codec(codec),
      contact_bound(settings.contact_bound),
      on_change(std::move(on_change)) {
  const ReadTiming operator_reads =
      PlanReads(settings.contact_bound, kOperatorReadDelay);
  const ReadTiming server_reads = PlanReads(
      settings.contact_bound, settings.drain_bound / kDrainBoundDivisor);
  this->server_read_delay = server_reads.read_delay;
  const std::uint64_t spread_seed = HashText(settings.process.value);
  this->current_view.max_confirmation_age = FindDetectionTime(operator_reads);
  this->operator_topic = std::make_unique<KeyedTopicTask>(
      loop, codec, settings.store, KeyedTopic::kOperator, operator_reads,
      spread_seed,
      KeyedTopicCallbacks{
          [this](const StoreContact& contact) {
            this->current_view.operator_contact = contact;
          },
          [this](const auto& keys) { this->OnOperatorKeys(keys); },
          [this](TimePoint as_of) { this->ConfirmTraffic(as_of); },
          [this](TimePoint now) {
            this->current_view.era_entered_at = now;
            return now + kOperatorHoldTime;
          }});
  this->server_topic = std::make_unique<KeyedTopicTask>(
      loop, codec, settings.store, KeyedTopic::kServers, server_reads,
      spread_seed,
      KeyedTopicCallbacks{
          [this](const StoreContact& contact) {
            this->current_view.server_contact = contact;
          },
          [this](const auto& keys) { this->OnServerKeys(keys); },
          [](TimePoint) {},
          [this](TimePoint now) {
            this->current_view.era_entered_at = now;
            return FindServerHoldEnd(this->current_view.server_contact,
                                     this->contact_bound, now);
          }});
}

void PlatformViewTask::SetCoordinating(bool coordinating) {
  this->server_topic->SetReadDelay(coordinating ? kCoordinatorReadDelay
                                                : this->server_read_delay);
}

const KeyedMirror& PlatformViewTask::mirror(KeyedTopic topic) const {
  return topic == KeyedTopic::kOperator ? this->operator_topic->mirror()
                                        : this->server_topic->mirror();
}

void PlatformViewTask::MergeFromPeer(KeyedTopic topic,
                                     const RecordBatch& batch,
                                     TimePoint confirmed_at) {
  KeyedTopicTask& task = topic == KeyedTopic::kOperator ? *this->operator_topic
                                                        : *this->server_topic;
  task.MergeFromPeer(batch);
  if (topic == KeyedTopic::kOperator && this->current_view.traffic) {
    this->ConfirmTraffic(confirmed_at);
  }
}

void PlatformViewTask::ConfirmTraffic(TimePoint as_of) {
  if (!this->newest_traffic_taken) {
    // What a configuration that cannot be read allows is not known.
    return;
  }
  this->current_view.traffic_confirmed_at =
      std::max(this->current_view.traffic_confirmed_at.value_or(as_of), as_of);
}

void PlatformViewTask::OnOperatorKeys(const std::vector<std::string>& keys) {
  const KeyedMirror& mirror = this->operator_topic->mirror();
  for (const std::string& key : keys) {
    const KeyedRecord& record = mirror.records.at(key);
    const OperatorKey decoded = this->codec.decode_operator_key(key);
    if (decoded.kind == OperatorKeyKind::kTraffic && record.value) {
      this->ApplyTrafficConfig(record);
    } else if (decoded.kind == OperatorKeyKind::kEvacuation) {
      if (record.value) {
        this->current_view.evacuated.insert(decoded.data_centre);
      } else {
        this->current_view.evacuated.erase(decoded.data_centre);
      }
      LogJsonNow("data_centre_changed",
                 {{"data_centre", std::string_view(decoded.data_centre.value)},
                  {"in_service", !record.value.has_value()},
                  {"era", record.position.era.value},
                  {"offset", record.position.number}});
    } else if (decoded.kind == OperatorKeyKind::kPromptRule) {
      this->ApplyPromptRule(record);
    }
  }
  this->on_change();
}

void PlatformViewTask::ApplyTrafficConfig(const KeyedRecord& record) {
  Result<TrafficConfig> decoded = this->codec.decode_traffic(*record.value);
  this->newest_traffic_taken = decoded.has_value();
  if (!decoded) {
    LogJsonNow("configuration_refused",
               {{"era", record.position.era.value},
                {"offset", record.position.number},
                {"detail", std::string_view(decoded.error().detail)}});
    return;
  }
  const std::int64_t version = decoded.value().version;
  if (this->current_view.traffic &&
      this->current_view.traffic->version >= version) {
    return;
  }
  LogJsonNow(
      "configuration_taken",
      {{"version", version},
       {"era", record.position.era.value},
       {"offset", record.position.number},
       {"routes", static_cast<std::int64_t>(decoded.value().routes.size())},
       {"requires_key", decoded.value().requires_key},
       {"keys",
        static_cast<std::int64_t>(decoded.value().accounts_by_key.size())}});
  this->current_view.traffic =
      std::make_shared<const TrafficConfig>(std::move(decoded.value()));
}

void PlatformViewTask::ApplyPromptRule(const KeyedRecord& record) {
  this->current_view.prompt_rules.erase(record.key);
  if (!record.value) {
    LogJsonNow("prompt_rule_removed", {{"key", std::string_view(record.key)},
                                       {"era", record.position.era.value},
                                       {"offset", record.position.number}});
    return;
  }
  Result<PromptRuleRecord> rule = this->codec.decode_prompt_rule(*record.value);
  if (!rule) {
    LogJsonNow("prompt_rule_refused",
               {{"key", std::string_view(record.key)},
                {"era", record.position.era.value},
                {"offset", record.position.number},
                {"detail", RefusalDetail(record, rule.error())}});
    return;
  }
  LogJsonNow("prompt_rule_taken",
             {{"key", std::string_view(record.key)},
              {"era", record.position.era.value},
              {"offset", record.position.number},
              {"part", std::string_view(rule.value().part)},
              {"blocked", rule.value().rule == PartRule::kBlock}});
  this->current_view.prompt_rules.emplace(record.key, std::move(rule.value()));
}

void PlatformViewTask::OnServerKeys(const std::vector<std::string>& keys) {
  const KeyedMirror& mirror = this->server_topic->mirror();
  const TimePoint now = EventLoop::Now();
  bool changed = false;
  for (const std::string& key : keys) {
    const KeyedRecord& record = mirror.records.at(key);
    std::optional<ListedServer> listed;
    if (record.value) {
      Result<ListedServer> decoded =
          this->codec.decode_server(key, *record.value);
      if (decoded) {
        listed = std::move(decoded.value());
      } else {
        LogJsonNow("server_entry_refused",
                   {{"server", std::string_view(key)},
                    {"era", record.position.era.value},
                    {"offset", record.position.number},
                    {"detail", RefusalDetail(record, decoded.error())}});
      }
    }
    const auto known = this->current_view.servers.find(key);
    const std::optional<KnownServer> before =
        known == this->current_view.servers.end()
            ? std::nullopt
            : std::optional(known->second);
    UpdateServer(this->current_view.servers, key, listed, record.position,
                 FindRemovalTime(this->current_view.server_contact,
                                 this->contact_bound, now),
                 now);
    if (!listed || !before ||
        !IsSameToRequests(*before, this->current_view.servers.at(key))) {
      changed = true;
      LogJsonNow(
          "server_changed",
          {{"server", std::string_view(key)},
           {"era", record.position.era.value},
           {"offset", record.position.number},
           {"listed", listed.has_value()},
           {"draining",
            listed && this->current_view.servers.at(key).listed.draining},
           {"born_ms", listed ? listed->start_time_ms : 0}});
    }
  }
  if (changed) {
    this->on_change();
  }
}

}  // namespace toucanhollow
