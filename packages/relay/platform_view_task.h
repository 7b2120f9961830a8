// BeliefTask: keeps what this entry host believes of the operators'
// configuration and of the servers, from the platform's store and from other
// entry hosts.
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
#include "traffic/server_belief.h"
#include "traffic/traffic_config.h"

namespace toucanhollow {

struct Belief {
  std::shared_ptr<const TrafficConfig> traffic;
  ServerBeliefs servers;
  std::set<DataCentreName> evacuated;
  StoreContact contact;
  // When the configuration was last known to be the newest.
  std::optional<TimePoint> traffic_confirmed_at;
  // A configuration that has not been confirmed for longer may be out of date,
  // so a route or key that it lacks may exist.
  Duration fresh_for{0};
};

// True if the configuration is known to be the newest.
bool IsFresh(const Belief& belief, TimePoint now);

class BeliefTask {
 public:
  BeliefTask(EventLoop& loop,
             HttpClient& client,
             const RelayCodec& codec,
             const RelaySettings& settings,
             std::function<void()> on_change);

  const Belief& belief() const { return this->current; }
  const KeyedMirror& mirror(KeyedTopic topic) const;
  // A coordinator of expert maps needs to know soon which ranks there are.
  void SetCoordinating(bool coordinating);
  // Merges what a peer sent; `confirmed_at` is when it last heard the store.
  void TakeFromPeer(KeyedTopic topic,
                    const std::vector<KeyedRecord>& records,
                    LogOffset from,
                    LogOffset end,
                    TimePoint confirmed_at);

 private:
  void OnContact(KeyedTopic topic, bool answered);
  void OnOperatorKeys(const std::vector<std::string>& keys);
  void OnServerKeys(const std::vector<std::string>& keys);
  void TakeTraffic(const KeyedRecord& record);

  const RelayCodec& codec;
  Duration server_pause;
  std::function<void()> on_change;
  Belief current;
  std::unique_ptr<KeyedTopicTask> operator_topic;
  std::unique_ptr<KeyedTopicTask> server_topic;
};

}  // namespace toucanhollow

#endif  // RELAY_PLATFORM_VIEW_TASK_H_
