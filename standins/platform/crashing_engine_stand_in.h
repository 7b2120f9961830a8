// A stand-in for a model server of the platform that a request can crash: it
// streams answers, and ends when it begins to write an answer on a prompt with
// the deadly part. It is back some time later as another incarnation.
#ifndef STANDINS_PLATFORM_CRASHING_ENGINE_STAND_IN_H_
#define STANDINS_PLATFORM_CRASHING_ENGINE_STAND_IN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "standins/platform/platform_store_stand_in.h"

namespace toucanhollow {

class CrashingEngineStandIn {
 public:
  static constexpr int kSlots = 6;
  // Time until the first event of an answer.
  static constexpr Duration kPrefillTime = Milliseconds(25);
  static constexpr Duration kEventPause = Milliseconds(10);
  static constexpr int kEvents = 5;
  // Time from a crash until the server listens again.
  static constexpr Duration kRestartTime = Milliseconds(400);

  struct Arrival {
    TimePoint at;
    std::string request;  // id
  };

  // Listens on `ip` and registers in the store.
  CrashingEngineStandIn(EventLoop& loop,
                        PlatformStoreStandIn& store,
                        std::string service,
                        const std::string& ip);

  // A prompt with this part crashes the server; empty for none.
  std::string deadly_part;
  // How long after the first event of the answer; empty if before it.
  std::optional<Duration> crash_delay;
  // Of an answer on it.
  int deadly_events = kEvents;
  // Requests with the deadly part that arrived at the server.
  std::vector<Arrival> deadly_arrivals;
  // When the server ended because of such a request.
  std::vector<TimePoint> deadly_crashes;
  // Ids of requests that have arrived whole.
  std::set<std::string> arrived;
  // Called with the body of each, if it is not empty.
  std::function<void(const std::string& id, const std::string& body)> on_body;
  // Ids of requests that ran when the server ended.
  std::set<std::string> broken_off;

  const Address& address() const { return this->own_address; }
  // Ends the server for another reason.
  void Crash();
  // Registers as leaving, as before a planned stop.
  void Drain();

 private:
  struct Session {
    std::unique_ptr<TcpConnection> connection;
    std::unique_ptr<RequestParser> parser;
    std::unique_ptr<Timer> work;
    // Id of the request that runs, if one does.
    std::string request;
    int events = kEvents;  // of its answer
  };

  void Start();
  void Register(std::string_view state);
  void Accept(int socket);
  void OnData(std::uint64_t number, std::string_view bytes);
  void Begin(std::uint64_t number, const RequestHead& head);
  // Ends the server because of the deadly part.
  void CrashByPart();
  void SendEvent(std::uint64_t number, std::int64_t event);

  EventLoop& loop;
  PlatformStoreStandIn& store;
  std::string service;
  Address own_address;
  std::string id;
  std::int64_t start_time_ms = 1'700'000'000'000;
  std::unique_ptr<TcpListener> listener;
  std::map<std::uint64_t, Session> sessions;
  std::uint64_t next_session = 1;
  std::unique_ptr<Timer> restart;
  std::unique_ptr<Timer> delayed_crash;
};

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_CRASHING_ENGINE_STAND_IN_H_
