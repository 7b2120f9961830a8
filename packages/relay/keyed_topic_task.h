// Follows one keyed topic of the platform's store.
#ifndef RELAY_KEYED_TOPIC_TASK_H_
#define RELAY_KEYED_TOPIC_TASK_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "relay/relay_codec.h"
#include "traffic/keyed_mirror.h"
#include "traffic/known_server.h"

namespace toucanhollow {

struct KeyedTopicCallbacks {
  std::function<void(const std::vector<std::string>& keys)> on_change;
  // The store answered, or failed to, at this moment.
  std::function<void(bool answered)> on_contact;
};

// How often the store is asked; each call has a price.
struct ReadPace {
  // After an answer, so that records that follow each other are read together.
  Duration pause{0};
  // How long the store holds a read without news. A connection that has fallen
  // silent is noticed this much later.
  Duration wait{0};
};

class KeyedTopicTask {
 public:
  // `pause` is the time between an answer and the next read; news that come
  // meanwhile are read together.
  KeyedTopicTask(EventLoop& loop,
                 HttpClient& client,
                 const RelayCodec& codec,
                 Address store,
                 KeyedTopic topic,
                 ReadPace pace,
                 KeyedTopicCallbacks callbacks);
  ~KeyedTopicTask();

  // From the next answer on.
  void SetPause(Duration pause) { this->pace.pause = pause; }
  const KeyedMirror& mirror() const { return this->records; }
  // Merges records that another entry host read. `end` is the host's end of
  // the topic.
  void TakeFromPeer(const std::vector<KeyedRecord>& from_peer,
                    LogOffset from,
                    LogOffset end);

 private:
  void Continue();
  void ReadNewest(const std::string& after);
  void ReadLog();
  void OnNewest(const HttpOutcome& outcome);
  void OnLog(const HttpOutcome& outcome, LogOffset from);
  void OnAnswered();
  void OnFailed(const HttpOutcome& outcome);
  void Schedule(Duration delay);
  void Report(const std::vector<std::string>& keys);

  EventLoop& loop;
  HttpClient& client;
  const RelayCodec& codec;
  Address store;
  KeyedTopic topic;
  ReadPace pace;
  KeyedTopicCallbacks callbacks;
  KeyedMirror records;
  bool following = false;
  std::vector<KeyedRecord> pages;
  LogOffset pages_end = 0;
  bool failing = false;
  int consecutive_failures = 0;
  HttpCallId call = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // RELAY_KEYED_TOPIC_TASK_H_
