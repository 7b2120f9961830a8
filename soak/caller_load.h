// CallerLoad: callers that ask one request after another, or two at once, and
// tell the ledger what they got. Every second one keeps its connection until
// the host announces its close or is gone; the others connect for each request.
// Some shut their sending side down behind a request and are owed the answer.
#ifndef SOAK_CALLER_LOAD_H_
#define SOAK_CALLER_LOAD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "soak/check_promises.h"
#include "soak/request_plan.h"

namespace toucanhollow {

// An entry host as callers see it.
struct HostView {
  Address address;
  // The last time that the soak paused or killed it.
  std::function<TimePoint()> disturbed_at;
  // When its process was told to end; empty if it was not.
  std::function<std::optional<TimePoint>()> stopping_since;
  Duration grace{0};
};

class CallerLoad {
 public:
  CallerLoad(EventLoop& loop,
             Ledger& ledger,
             std::vector<HostView> hosts,
             unsigned int seed,
             int callers);
  ~CallerLoad();
  // Lets the requests under way end and sends no more.
  void Finish() { this->finishing = true; }

 private:
  struct Caller;

  void Connect(Caller& caller);
  void Ask(Caller& caller);
  void Send(Caller& caller, const PlannedRequest& planned, bool close);
  // Shuts the sending side down behind the last request, if planned.
  void HalfClose(Caller& caller, const PlannedRequest& planned);
  void OnData(Caller& caller, std::string_view bytes);
  // Takes the answer to the request that waits for it longest.
  void OnAnswer(Caller& caller);
  void OnEnd(Caller& caller, std::optional<ConnectionEnd> how);
  void GiveUp(Caller& caller);
  void Disconnect(Caller& caller);
  void Later(Caller& caller, Duration pause);

  EventLoop& loop;
  Ledger& ledger;
  std::vector<HostView> hosts;
  std::mt19937 random;
  int pause_factor;
  std::vector<std::unique_ptr<Caller>> callers;
  std::uint64_t next_id = 1;
  bool finishing = false;
};

}  // namespace toucanhollow

#endif  // SOAK_CALLER_LOAD_H_
