// SoakServer: a server on the platform's protocol that answers whatever it is
// asked, and tells the ledger what it runs. It checks that it gets no more
// requests in a second than a cold server may.
#ifndef SOAK_SOAK_SERVER_H_
#define SOAK_SOAK_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "event_loop/event_loop.h"
#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "soak/check_promises.h"

namespace toucanhollow {

// A cold server takes this many requests per second, and at most
// kMaxInOneSecond in any second from all hosts.
inline constexpr int kColdRequestsPerSecond = 100;
inline constexpr double kColdBurstFactor = 1.5;
inline constexpr int kColdSlack = 5;
inline constexpr std::size_t kMaxInOneSecond = 155;

class SoakServer {
 public:
  SoakServer(EventLoop& loop, Ledger& ledger, std::string id);

  std::uint16_t Port() const { return this->listener->Port(); }
  // Starts again as another server; connections are reset.
  void Restart(std::string id);
  const std::string& id() const { return this->own_id; }
  // Breaks off the next answers in the middle.
  void BreakAnswers(int count) { this->to_break = count; }
  // Requests that arrive until then may have been held up on the way, so their
  // number in a second is not checked.
  void IgnoreRateUntil(TimePoint time) { this->rate_ignored_until = time; }
  // Requests that are here now, or arrive while its link is disturbed, may be
  // broken off without a fault of the host.
  void SetLinkDisturbed(bool disturbed);
  // The store acknowledged at this time, while it was stable, that the server
  // leaves. Requests are held against it.
  void SetLeft(std::optional<TimePoint> time) { this->left_at = time; }

 private:
  struct Session {
    std::unique_ptr<TcpConnection> connection;
    std::unique_ptr<RequestParser> parser;
    std::unique_ptr<Timer> work;
    std::string request;  // id of the one that runs; empty without one
  };

  void Accept(int socket);
  void OnData(std::uint64_t number, std::string_view bytes);
  void CheckRate(TimePoint now);
  void Run(std::uint64_t number, const RequestHead& head);
  void SendAnswer(std::uint64_t number, const std::string& target);
  void EndAfterWrite(std::uint64_t number);
  void SendEvent(std::uint64_t number, Duration pause, int event);
  void NoteFinished(Session& session);
  void NoteBroke(Session& session);
  void Close(std::uint64_t number, bool reset);
  bool BreaksNow();

  EventLoop& loop;
  Ledger& ledger;
  std::string own_id;
  std::optional<TimePoint> left_at;
  TimePoint rate_ignored_until;
  std::deque<TimePoint> arrived;  // in the last second
  bool link_disturbed = false;
  int to_break = 0;
  // Answers that were broken; each is in the next of several ways.
  int broken = 0;
  std::unique_ptr<TcpListener> listener;
  std::map<std::uint64_t, Session> sessions;
  std::uint64_t next_session = 1;
};

}  // namespace toucanhollow

#endif  // SOAK_SOAK_SERVER_H_
