// CoordinatorTask: one entry host at a time coordinates expert maps; the
// platform's store says which.
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

class CoordinatorTask {
 public:
  CoordinatorTask(EventLoop& loop,
                  HttpClient& client,
                  const EngineMapCodec& codec,
                  Address store,
                  std::string member);
  ~CoordinatorTask();

  // The last known term; the coordinator goes on while the store is away.
  const CoordinatorTerm& term() const { return this->current; }
  // Gives the place up.
  void Leave();

 private:
  void Join();

  EventLoop& loop;
  HttpClient& client;
  const EngineMapCodec& codec;
  Address store;
  std::string member;
  CoordinatorTerm current;
  bool leaving = false;
  HttpCallId call = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_COORDINATOR_TASK_H_
