// PlatformViewTask: keeps this entry host's view of the operators'
// configuration and of the servers, as read from the platform's store and from
// other entry hosts.
#ifndef RELAY_PLATFORM_VIEW_TASK_H_
#define RELAY_PLATFORM_VIEW_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "relay/keyed_topic_task.h"
#include "relay/relay_settings.h"
#include "traffic/known_server.h"
#include "traffic/traffic_config.h"

namespace toucanhollow {

struct PlatformView {
  // Null before the first configuration.
  std::shared_ptr<const TrafficConfig> traffic;
  KnownServers servers;
  // Data centres that operators have taken out of service.
  std::set<DataCentreName> evacuated;
  // Operators' rules on parts of prompts, by the key of their record.
  std::map<std::string, PromptRuleRecord> prompt_rules;
  // Of the operators' and of the servers' topic, which may fail apart.
  StoreContact operator_contact;
  StoreContact server_contact;
  // When the records of the latest era of the store were first known; empty
  // before the first ones.
  std::optional<TimePoint> era_entered_at;
  // When the configuration was last known to be the newest.
  std::optional<TimePoint> traffic_confirmed_at;
  // If the configuration was not confirmed for this long, contact with the
  // store is lost: a route or key that the configuration lacks may exist.
  Duration max_confirmation_age{0};
};

// False while the reads of a topic fail or none has been answered yet.
bool HasStoreContact(const PlatformView& view);

// True if the configuration was confirmed as the newest within
// `max_confirmation_age`.
bool IsTrafficConfigFresh(const PlatformView& view, TimePoint now);

// How long an evacuation or a prompt rule is held that a restored store does
// not list. Operators write it again, or take it back, within this time.
inline constexpr Duration kOperatorHoldTime = Seconds(10);

class PlatformViewTask {
 public:
  PlatformViewTask(EventLoop& loop,
                   const RelayCodec& codec,
                   const RelaySettings& settings,
                   std::function<void()> on_change);

  const PlatformView& view() const { return this->current_view; }
  const KeyedMirror& mirror(KeyedTopic topic) const;
  // Reads the servers more often while this host coordinates the expert maps,
  // because a coordinator must learn of new and removed ranks early.
  void SetCoordinating(bool coordinating);
  // Merges the records that a peer sent. `confirmed_at` is when the peer's
  // configuration was last confirmed as the newest.
  void MergeFromPeer(KeyedTopic topic,
                     const RecordBatch& batch,
                     TimePoint confirmed_at);

 private:
  // All records of the operators up to this time have been read.
  void ConfirmTraffic(TimePoint as_of);
  void OnOperatorKeys(const std::vector<std::string>& keys);
  void OnServerKeys(const std::vector<std::string>& keys);
  void ApplyTrafficConfig(const KeyedRecord& record);
  void ApplyPromptRule(const KeyedRecord& record);

  const RelayCodec& codec;
  Duration contact_bound;
  Duration server_read_delay;
  std::function<void()> on_change;
  PlatformView current_view;
  // False while the newest configuration that was read is refused.
  bool newest_traffic_taken = true;
  std::unique_ptr<KeyedTopicTask> operator_topic;
  std::unique_ptr<KeyedTopicTask> server_topic;
};

}  // namespace toucanhollow

#endif  // RELAY_PLATFORM_VIEW_TASK_H_
