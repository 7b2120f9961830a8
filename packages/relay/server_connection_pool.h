// ServerConnectionPool: the idle connections of this host to one incarnation of
// a server, and what the host knows of the server's present load and health.
#ifndef RELAY_SERVER_CONNECTION_POOL_H_
#define RELAY_SERVER_CONNECTION_POOL_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "http_stream/tcp_connection.h"
#include "traffic/known_server.h"
#include "traffic/misdirection.h"
#include "traffic/permit_availability.h"
#include "traffic/place_request.h"
#include "traffic/server_leaving.h"
#include "traffic/server_limit.h"
#include "traffic/server_quiet.h"

namespace toucanhollow {

class ServerConnectionPool {
 public:
  explicit ServerConnectionPool(ListedServer server);

  const ListedServer& server() const { return this->listed; }
  // Hash of the server's id, which names it in load reports.
  std::uint32_t load_key() const { return this->key; }

  // Returns an idle connection that the server will not close soon, or null.
  std::unique_ptr<TcpConnection> TakeIdle(TimePoint now);
  // Adds an idle connection, which the server closes after `server_timeout`. It
  // is used until shortly before then.
  void AddIdle(std::unique_ptr<TcpConnection> connection,
               Duration server_timeout,
               TimePoint now);
  void CloseIdle();

  // Open requests of this host.
  int outstanding = 0;
  // Prompt tokens of the open requests whose response has not begun.
  int pending_prompt_tokens = 0;
  ServerHealth health;
  PermitAvailability permits;
  std::optional<Misdirection> misdirection;
  // The latest statement on the server's limit; empty until it names one.
  std::optional<ServerLimit> limit;
  // The statement is from an answer to this host, not from another host.
  bool limit_is_own = false;
  std::optional<TimePoint> malformed_limit_logged_at;
  std::optional<ServerLeaving> leaving;
  // A malformed statement of leaving was logged.
  bool malformed_leaving_logged = false;
  std::optional<ServerQuiet> quiet;
  // A malformed time of a refusal was logged.
  bool malformed_quiet_logged = false;

 private:
  struct IdleConnection {
    std::unique_ptr<TcpConnection> connection;
    TimePoint usable_until;
  };

  ListedServer listed;
  std::uint32_t key;
  std::deque<IdleConnection> idle;
};

}  // namespace toucanhollow

#endif  // RELAY_SERVER_CONNECTION_POOL_H_
