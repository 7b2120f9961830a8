// KeyedTopicTask: mirrors one keyed topic of the platform's store. It reads the
// newest record of each key, then follows the log by long polls. When the store
// names a new era it begins again; see KeyedMirror for what stays in force.
#ifndef RELAY_KEYED_TOPIC_TASK_H_
#define RELAY_KEYED_TOPIC_TASK_H_

#include <cstdint>
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
  // Called when the mirror holds the records of a new era. Returns until when
  // values of earlier eras are held that the new one does not list.
  std::function<TimePoint(TimePoint now)> on_new_era;
};

// The first read of a new era is delayed by up to this, so that the hosts do
// not all read at once.
inline constexpr Duration kMaxNewEraDelay = Milliseconds(200);

// How long a removal of an earlier era is held against an entry of the copy
// after the hold of values has ended. An entry whose writer has left expires
// sooner.
inline constexpr Duration kRemovalHoldTime = Seconds(30);

class KeyedTopicTask {
 public:
  // Starts reading at once. `spread_seed` differs between hosts.
  KeyedTopicTask(EventLoop& loop,
                 const RelayCodec& codec,
                 Address store,
                 KeyedTopic topic,
                 ReadTiming timing,
                 std::uint64_t spread_seed,
                 KeyedTopicCallbacks callbacks);
  ~KeyedTopicTask();

  // Takes effect after the next answer.
  void SetReadDelay(Duration read_delay) {
    this->timing.read_delay = read_delay;
  }
  const KeyedMirror& mirror() const { return this->records; }
  // The latest era that the store or a peer has named.
  StoreEra era() const { return this->latest_era; }
  // Merges records of another entry host. The log is read from the end of the
  // batch on if the batch covers every change before it.
  void MergeFromPeer(const RecordBatch& batch);

 private:
  void ReadNext();
  void ReadNewest(const std::string& after);
  void ReadLog();
  void OnNewest(const HttpOutcome& outcome, bool is_first_page);
  void OnLog(const HttpOutcome& outcome, StorePosition from);
  // The log does not have the position that was read.
  void OnGone(StorePosition from);
  // Adopts the era that an answer names if it is later than the latest one.
  // False if it is earlier or unreadable: the answer must not be used.
  bool AdoptEra(const HttpOutcome& outcome);
  // Reads the newest records of an era that an answer has named.
  void StartNewEra();
  // Merges the batch and returns the keys whose newest record changed.
  std::vector<std::string> Merge(const RecordBatch& batch);
  void OnEraEntered(StorePosition before, std::size_t changed);
  void EndHeld(HeldKind kind);
  ValueReading ReadValue(const std::string& key,
                         const std::string& value) const;
  // Bounds what is kept of values that are not used.
  void ReduceUnused(std::vector<KeyedRecord>& records);
  // Logs the first unusable records that were not retained.
  void ReportDropped(std::uint64_t dropped);
  std::size_t CountValues() const;
  void OnAnswered();
  void OnFailed(const HttpOutcome& outcome);
  // The answer to a read of the log, or of the newest records, is longer than
  // the host accepts. The other way of reading may still work.
  void OnTooLarge(const HttpOutcome& outcome, bool of_log);
  // Notes the failure and logs the first one in a row.
  void RecordFailedRead(const HttpOutcome& outcome, ReadFailure failure);
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
  Duration new_era_delay;
  KeyedTopicCallbacks callbacks;
  RecordRules rules;
  KeyedMirror records;
  StoreEra latest_era;
  // The era of the last answer that was used.
  StoreEra answered_era;
  // Of the mirror, whose change has not been taken yet.
  std::set<std::string> changed_keys;
  // The newest records have been read; the log is read from `records.end` on.
  bool following_log = false;
  // The pages of newest records read so far, and the end of the topic when the
  // first page was read.
  std::vector<KeyedRecord> snapshot_records;
  StorePosition snapshot_end;
  TimePoint snapshot_read_at;
  StoreContact contact;
  int consecutive_failures = 0;
  // Whether the first value replaced by a summary, and the first unusable
  // records that were dropped, have been logged.
  bool logged_replaced = false;
  bool logged_dropped = false;
  // Reads of the log since the last answer that had the position.
  int consecutive_gone = 0;
  // Answers that were too large since the log was last read.
  int consecutive_too_large = 0;
  TimePoint last_answer_at;
  TimePoint sent_at;
  HttpCallId call = 0;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> hold_timer;
};

}  // namespace toucanhollow

#endif  // RELAY_KEYED_TOPIC_TASK_H_
