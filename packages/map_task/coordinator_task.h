// CoordinatorTask: one entry host at a time coordinates expert maps; the
// platform's store says which, by the partitions of a topic that it gives to
// the members of a group.
//
// Two may coordinate for a moment; AdvanceChange is safe under that.
#ifndef MAP_TASK_COORDINATOR_TASK_H_
#define MAP_TASK_COORDINATOR_TASK_H_

#include <memory>
#include <string>

#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "map_task/engine_codec.h"

namespace toucanhollow {

struct CoordinatorTerm {
  // Rises with each change of the group.
  std::int64_t generation = 0;
  bool is_coordinator = false;
};

// The store's group, and this process's place in it.
struct CoordinatorElectionSettings {
  Address store;
  // Partitions that the store gives a topic. The holder of the last one
  // coordinates: when members come, those with more give up some, and the last
  // has been seen to move least.
  int partitions = 1;
  std::string member;
};

class CoordinatorTask {
 public:
  CoordinatorTask(EventLoop& loop,
                  HttpClient& client,
                  const EngineMapCodec& codec,
                  CoordinatorElectionSettings election);
  ~CoordinatorTask();

  // The last known term; the coordinator goes on while the store is away.
  const CoordinatorTerm& term() const { return this->current_term; }
  // Gives the place up. Until the store has taken it back, this host goes on:
  // while the store is away nobody else can begin.
  void Leave();

 private:
  void Join();
  void ApplyAssignment(const HttpOutcome& outcome);

  EventLoop& loop;
  HttpClient& client;
  const EngineMapCodec& codec;
  CoordinatorElectionSettings election;
  CoordinatorTerm current_term;
  bool leaving = false;
  HttpCallId call = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_COORDINATOR_TASK_H_
