// CoordinatorTask: elects one entry host to coordinate expert maps. The entry
// hosts form a consumer group of the platform's store, which assigns the
// partitions of a topic to its members; the member with the last partition is
// the coordinator.
//
// Two hosts may coordinate for a moment; AdvanceChange is safe under that.
#ifndef MAP_TASK_COORDINATOR_TASK_H_
#define MAP_TASK_COORDINATOR_TASK_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/store_position.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "map_change/coordinator_versions.h"
#include "map_task/engine_codec.h"
#include "traffic/issuer_lease.h"

namespace toucanhollow {

struct CoordinatorTerm {
  // Increases with each change of the membership of the consumer group, and
  // with each era of the store.
  StorePosition generation;
  bool is_coordinator = false;
};

// The store of the consumer group, and this process's membership in it.
struct CoordinatorElectionSettings {
  Address store;
  // The number of partitions of the topic. The holder of the last one
  // coordinates: when members join, those with the most partitions give some
  // up, and the last partition was observed to move least often.
  int partitions = 1;
  std::string member;
  // How many map versions a term may use, at most kMaxVersionsInTerm.
  std::int64_t versions_in_term = kMaxVersionsInTerm;
};

class CoordinatorTask {
 public:
  CoordinatorTask(EventLoop& loop,
                  const EngineMapCodec& codec,
                  CoordinatorElectionSettings election,
                  std::function<void(const JoinAnswer&)> on_joined = nullptr);
  ~CoordinatorTask();

  // The last known term. The coordinator continues while the store is
  // unreachable.
  const CoordinatorTerm& term() const { return this->current_term; }
  // Leaves the consumer group and joins it again in place of the next join,
  // which begins another term.
  void EndTerm() { this->ends_term = true; }
  // Leaves the consumer group, with retries. This host remains the coordinator
  // until the store confirms, because no other host can take over while the
  // store is unreachable.
  void Leave();

 private:
  void Join();
  void LeaveThenJoin();
  HttpCall MakeLeaveCall() const;
  void OnJoined(const HttpOutcome& outcome);
  // Takes the era that the answer names. Returns false if the answer is of an
  // older era or names none that is valid, and must not be used.
  bool UpdateEra(const HttpOutcome& outcome);
  void ApplyAssignment(const HttpOutcome& outcome);
  void LogUnusedAnswer(std::string_view detail);

  EventLoop& loop;
  // Keeps one connection, as there may be no other that is still alive.
  HttpClient client;
  const EngineMapCodec& codec;
  CoordinatorElectionSettings election;
  std::function<void(const JoinAnswer&)> on_joined;
  CoordinatorTerm current_term;
  // The latest era that an answer named.
  StoreEra era;
  // Why the last answer was not used; empty if it was.
  std::string unused_because;
  // When the last join was sent.
  BootTime asked_at;
  bool last_join_failed = false;
  bool ends_term = false;
  bool leaving = false;
  HttpCallId call = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_COORDINATOR_TASK_H_
