// CallerLoad: callers that keep their connections, ask one request after
// another, and tell the ledger what they got.
#ifndef SOAK_CALLER_LOAD_H_
#define SOAK_CALLER_LOAD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "soak/check_promises.h"

namespace toucanhollow {

// An entry host as callers see it.
struct HostView {
  Address address;
  // The last time that the soak stopped, paused or killed it.
  std::function<TimePoint()> disturbed_at;
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
  void OnData(Caller& caller, std::string_view bytes);
  void OnEnd(Caller& caller);
  void GiveUp(Caller& caller);
  void Later(Caller& caller, Duration pause);

  EventLoop& loop;
  Ledger& ledger;
  std::vector<HostView> hosts;
  std::mt19937 random;
  std::vector<std::unique_ptr<Caller>> callers;
  std::uint64_t next_id = 1;
  bool finishing = false;
};

}  // namespace toucanhollow

#endif  // SOAK_CALLER_LOAD_H_
