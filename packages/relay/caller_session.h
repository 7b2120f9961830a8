// CallerSession: one caller's connection, which carries requests one after
// another.
#ifndef RELAY_CALLER_SESSION_H_
#define RELAY_CALLER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "relay/relayed_request.h"

namespace toucanhollow {

class CallerSession {
 public:
  // `on_closed` is called once when the session can be destroyed, which may
  // not happen inside the call.
  CallerSession(RelayContext context,
                int socket,
                std::uint64_t number,
                std::function<void()> on_closed);
  ~CallerSession();

  // Closes what is due: slow headers, idle and closing connections.
  void Sweep(TimePoint now);
  // The next answer that begins is the last one of this connection.
  void Leave();
  // Ends the connection whatever it does.
  void Cut(std::string_view reason);
  // True if the caller is owed nothing: no request of it is being read or
  // answered, none can be on its way, and no byte of an answer waits to be
  // sent.
  bool IsSettled(TimePoint now) const;

 private:
  enum class Phase { kIdle, kReading, kAnswering, kClosing, kClosed };

  void OnData(std::string_view bytes);
  void OnEnd();
  void Advance();
  void StartRun();
  void RefuseInput(int status, std::string_view why);
  void SendHead(int status,
                std::string_view reason,
                HttpHeaders headers,
                std::string_view framing);
  void FinishAnswer();
  void BeginClosing();
  void Close();
  const IngressLimits& Limits() const;

  RelayContext context;
  std::unique_ptr<TcpConnection> connection;
  std::uint64_t number;
  std::function<void()> on_closed;
  std::unique_ptr<RequestParser> parser;
  std::shared_ptr<RelayRun> run;
  Phase phase = Phase::kIdle;
  bool leaving = false;
  // The caller has been told that this answer is the last one.
  bool close_announced = false;
  bool continue_sent = false;
  bool caller_keeps_alive = true;
  bool head_request = false;
  std::uint64_t runs = 0;
  // Bytes of later requests while an answer is on its way.
  std::string early;
  // Since when the present phase waits for the caller.
  TimePoint waiting_since;
  Duration idle_timeout;
};

}  // namespace toucanhollow

#endif  // RELAY_CALLER_SESSION_H_
