// A stand-in for a server of the platform: it answers each request by a script
// of bytes and remembers what it ran.
#ifndef STANDINS_PLATFORM_SEALED_SERVER_STAND_IN_H_
#define STANDINS_PLATFORM_SEALED_SERVER_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event_loop/event_loop.h"
#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"

namespace toucanhollow {

// What the server does with one request. In texts, {id} stands for the id of
// the request.
struct ScriptedAnswer {
  // Written at once; "close" after it ends the connection, "reset" resets it.
  std::string bytes;
  bool close = false;
  bool reset = false;
  // Written after a delay, if it is not empty.
  std::string later;
  Duration delay{0};
  // Written again and again after `bytes`, until the connection ends.
  std::string endless;
  // Gives what is written after `bytes`, a piece after each `delay`, until it
  // gives an empty one. `number` counts from 0. May be null.
  std::function<std::string(int number)> piece = nullptr;
  // False for a refusal that the server states.
  bool runs = true;
};

// A whole sealed success with this body.
ScriptedAnswer SealedAnswer(const std::string& body);

// A request that the server got.
struct ServerArrival {
  TimePoint at;
  std::string request_id;
  // Whether the answer names a limit.
  bool limited = false;
};

class SealedServerStandIn {
 public:
  explicit SealedServerStandIn(EventLoop& loop, std::string ip = "127.0.0.1");

  const std::string& ip() const { return this->listens_at; }
  std::uint16_t Port() const;
  // Closes all connections, as at the end of its process.
  void CloseSessions();
  // Answers for the next requests; then a sealed "ok" each.
  std::deque<ScriptedAnswer> script;
  // Heads and bodies of the requests that it ran, in order.
  std::vector<RequestHead> heads;
  std::vector<std::string> bodies;
  std::map<std::string, int> runs;  // by request id
  // When requests came, in order.
  std::vector<TimePoint> arrivals;
  // The same requests.
  std::vector<ServerArrival> log;
  // Values of the limit in the head of each answer, a field each.
  std::vector<std::string> limits;
  int closed_by_caller = 0;
  // The text of the engine's report. Without it, questions for the report are
  // not answered, as by an engine whose machine stands still.
  std::function<std::string()> report;
  // How long a question for the report waits for its answer.
  Duration report_delay{0};

 private:
  struct Session {
    std::unique_ptr<TcpConnection> connection;
    std::unique_ptr<RequestParser> parser;
    std::unique_ptr<Timer> timer;
    // Of the present answer, written so far.
    int pieces = 0;
  };

  void Accept(int socket);
  void OnData(std::uint64_t number, std::string_view bytes);
  void Answer(std::uint64_t number, const RequestHead& head);
  void Close(std::uint64_t number);

  EventLoop& loop;
  std::string listens_at;
  std::unique_ptr<TcpListener> listener;
  std::map<std::uint64_t, Session> sessions;
  std::uint64_t next_session = 1;
};

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_SEALED_SERVER_STAND_IN_H_
