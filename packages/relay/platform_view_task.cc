#include "relay/platform_view_task.h"

#include <algorithm>
#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// Configurations that follow each other faster are read together.
constexpr Duration kOperatorPause = Milliseconds(100);
// Part of the drain bound that passes between two reads of the servers, which
// write heartbeats all the time; the rest is for the reads themselves.
constexpr int kDrainBoundParts = 2;
// One host at a time coordinates, so that its reads cost little.
constexpr Duration kCoordinatorPause = Milliseconds(200);
// A silent connection is noticed this much before the bounds hold again for a
// host whose connections were reset.
constexpr Duration kContactMargin = Seconds(1);
// Covers the pause after a read that waited.
constexpr Duration kFreshMargin = Milliseconds(600);

Duration ReadWait(const RelaySettings& settings) {
  return std::max(settings.contact_bound - kContactMargin, kContactMargin);
}

}  // namespace

bool IsFresh(const Belief& belief, TimePoint now) {
  return belief.traffic_confirmed_at &&
         now - *belief.traffic_confirmed_at <= belief.fresh_for;
}

BeliefTask::BeliefTask(EventLoop& loop,
                       HttpClient& client,
                       const RelayCodec& codec,
                       const RelaySettings& settings,
                       std::function<void()> on_change)
    : codec(codec),
      server_pause(settings.drain_bound / kDrainBoundParts),
      on_change(std::move(on_change)) {
  const Duration wait = ReadWait(settings);
  this->current.fresh_for = wait + kFreshMargin;
  this->operator_topic = std::make_unique<KeyedTopicTask>(
      loop, client, codec, settings.store, KeyedTopic::kOperator,
      ReadPace{kOperatorPause, wait},
      KeyedTopicCallbacks{
          [this](const auto& keys) { this->OnOperatorKeys(keys); },
          [this](bool answered) {
            this->OnContact(KeyedTopic::kOperator, answered);
          }});
  this->server_topic = std::make_unique<KeyedTopicTask>(
      loop, client, codec, settings.store, KeyedTopic::kServers,
      ReadPace{this->server_pause, wait},
      KeyedTopicCallbacks{
          [this](const auto& keys) { this->OnServerKeys(keys); },
          [this](bool answered) {
            this->OnContact(KeyedTopic::kServers, answered);
          }});
}

void BeliefTask::SetCoordinating(bool coordinating) {
  this->server_topic->SetPause(coordinating ? kCoordinatorPause
                                            : this->server_pause);
}

const KeyedMirror& BeliefTask::mirror(KeyedTopic topic) const {
  return topic == KeyedTopic::kOperator ? this->operator_topic->mirror()
                                        : this->server_topic->mirror();
}

void BeliefTask::TakeFromPeer(KeyedTopic topic,
                              const std::vector<KeyedRecord>& records,
                              LogOffset from,
                              LogOffset end,
                              TimePoint confirmed_at) {
  KeyedTopicTask& task = topic == KeyedTopic::kOperator ? *this->operator_topic
                                                        : *this->server_topic;
  task.TakeFromPeer(records, from, end);
  if (topic == KeyedTopic::kOperator && this->current.traffic) {
    this->current.traffic_confirmed_at =
        std::max(this->current.traffic_confirmed_at.value_or(confirmed_at),
                 confirmed_at);
  }
}

void BeliefTask::OnContact(KeyedTopic topic, bool answered) {
  const TimePoint now = EventLoop::Now();
  if (!answered) {
    this->current.contact.failed_at = now;
    return;
  }
  this->current.contact.answered_at = now;
  if (topic == KeyedTopic::kOperator) {
    this->current.traffic_confirmed_at = now;
  }
}

void BeliefTask::OnOperatorKeys(const std::vector<std::string>& keys) {
  const KeyedMirror& mirror = this->operator_topic->mirror();
  for (const std::string& key : keys) {
    const KeyedRecord& record = mirror.records.at(key);
    const OperatorKey decoded = this->codec.decode_operator_key(key);
    if (decoded.kind == OperatorKeyKind::kTraffic && record.value) {
      this->TakeTraffic(record);
    } else if (decoded.kind == OperatorKeyKind::kEvacuation) {
      if (record.value) {
        this->current.evacuated.insert(decoded.data_centre);
      } else {
        this->current.evacuated.erase(decoded.data_centre);
      }
      LogJsonNow("data_centre_changed",
                 {{"data_centre", std::string_view(decoded.data_centre.value)},
                  {"in_service", !record.value.has_value()},
                  {"offset", record.offset}});
    }
  }
  this->on_change();
}

void BeliefTask::TakeTraffic(const KeyedRecord& record) {
  Result<TrafficConfig> decoded = this->codec.decode_traffic(*record.value);
  if (!decoded) {
    LogJsonNow("configuration_refused",
               {{"offset", record.offset},
                {"detail", std::string_view(decoded.error().detail)}});
    return;
  }
  const std::int64_t version = decoded.value().version;
  if (this->current.traffic && this->current.traffic->version >= version) {
    return;
  }
  LogJsonNow(
      "configuration_taken",
      {{"version", version},
       {"offset", record.offset},
       {"routes", static_cast<std::int64_t>(decoded.value().routes.size())},
       {"keys",
        static_cast<std::int64_t>(decoded.value().account_of_key.size())}});
  this->current.traffic =
      std::make_shared<const TrafficConfig>(std::move(decoded.value()));
}

void BeliefTask::OnServerKeys(const std::vector<std::string>& keys) {
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
                    {"offset", record.offset},
                    {"detail", std::string_view(decoded.error().detail)}});
      }
    }
    const auto known = this->current.servers.find(key);
    const bool same = listed && known != this->current.servers.end() &&
                      !known->second.missing_since &&
                      known->second.listed.born_ms == listed->born_ms &&
                      known->second.listed.draining == listed->draining &&
                      known->second.listed.address == listed->address;
    UpdateServer(this->current.servers, key, listed, record.offset,
                 this->current.contact, now);
    if (!same) {
      changed = true;
      LogJsonNow("server_changed", {{"server", std::string_view(key)},
                                    {"offset", record.offset},
                                    {"listed", listed.has_value()},
                                    {"draining", listed && listed->draining},
                                    {"born_ms", listed ? listed->born_ms : 0}});
    }
  }
  if (changed) {
    this->on_change();
  }
}

}  // namespace toucanhollow
