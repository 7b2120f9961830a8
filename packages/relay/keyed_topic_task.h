// KeyedTopicTask: mirrors one keyed topic of the platform's store. It reads the
// newest record of each key, then follows the log by long polls.
#ifndef RELAY_KEYED_TOPIC_TASK_H_
#define RELAY_KEYED_TOPIC_TASK_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "relay/relay_codec.h"
#include "traffic/keyed_mirror.h"
#include "traffic/read_timing.h"
#include "traffic/store_contact.h"

namespace toucanhollow {

struct KeyedTopicCallbacks {
  // Called when a read has been answered or has failed, before the records of
  // the answer are merged.
  std::function<void(const StoreContact& contact)> on_contact;
  std::function<void(const std::vector<std::string>& keys)> on_change;
  // Called when the mirror holds all records that the topic had at this time.
  std::function<void(TimePoint as_of)> on_complete;
};

class KeyedTopicTask {
 public:
  // Starts reading at once.
  KeyedTopicTask(EventLoop& loop,
                 const RelayCodec& codec,
                 Address store,
                 KeyedTopic topic,
                 ReadTiming timing,
                 KeyedTopicCallbacks callbacks);
  ~KeyedTopicTask();

  // Takes effect after the next answer.
  void SetReadDelay(Duration read_delay) {
    this->timing.read_delay = read_delay;
  }
  const KeyedMirror& mirror() const { return this->records; }
  // Merges records of another entry host. The log is read from the end of the
  // batch on if the batch covers every change before it.
  void MergeFromPeer(const RecordBatch& batch);

 private:
  void ReadNext();
  void ReadNewest(const std::string& after);
  void ReadLog();
  void OnNewest(const HttpOutcome& outcome);
  void OnLog(const HttpOutcome& outcome, LogOffset from);
  void OnAnswered();
  void OnFailed(const HttpOutcome& outcome);
  void StartCall(HttpCall request,
                 Duration wait,
                 std::function<void(const HttpOutcome& outcome)> on_done);
  void Schedule(Duration delay);
  // Runs a step that plans the next one. An exception must not end the reading.
  void RunOrRetry(const std::function<void()>& step);
  void NotifyChange(const std::vector<std::string>& keys);

  EventLoop& loop;
  // Only one connection is kept: others would be idle, and might have fallen
  // silent together with the first when they take its place.
  HttpClient client;
  const RelayCodec& codec;
  Address store;
  KeyedTopic topic;
  ReadTiming timing;
  KeyedTopicCallbacks callbacks;
  KeyedMirror records;
  // Of the mirror, whose change has not been taken yet.
  std::set<std::string> changed_keys;
  // The newest records have been read; the log is read from `records.end` on.
  bool following_log = false;
  // The pages of newest records read so far, and the end of the topic when the
  // first page was read.
  std::vector<KeyedRecord> snapshot_records;
  LogOffset snapshot_end = 0;
  TimePoint snapshot_read_at;
  StoreContact contact;
  int consecutive_failures = 0;
  TimePoint sent_at;
  HttpCallId call = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // RELAY_KEYED_TOPIC_TASK_H_
