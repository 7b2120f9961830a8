// ServerPool: the connections of this host to one server incarnation, and
// what it knows of the server's present load and health.
#ifndef RELAY_SERVER_CONNECTION_POOL_H_
#define RELAY_SERVER_CONNECTION_POOL_H_

#include <cstdint>
#include <deque>
#include <memory>

#include "http_stream/tcp_connection.h"
#include "traffic/place_request.h"
#include "traffic/server_belief.h"
#include "traffic/start_rate.h"

namespace toucanhollow {

class ServerPool {
 public:
  explicit ServerPool(ListedServer server);

  const ListedServer& server() const { return this->listed; }
  // Hash of the id, as load reports carry it.
  std::uint32_t load_key() const { return this->key; }

  // A kept connection that the server will not close soon, or null.
  std::unique_ptr<TcpConnection> TakeKept(TimePoint now);
  // Keeps a connection until shortly before the server closes it.
  void Keep(std::unique_ptr<TcpConnection> connection,
            Duration server_timeout,
            TimePoint now);
  void CloseKept();

  // Open requests of this host.
  int outstanding = 0;
  // Prompt tokens of those without a first byte of the answer.
  int unread_tokens = 0;
  ServerHealth health;
  StartRate start_rate;
  // Another server answers at the address.
  bool misdirected = false;

 private:
  struct Kept {
    std::unique_ptr<TcpConnection> connection;
    TimePoint use_until;
  };

  ListedServer listed;
  std::uint32_t key;
  std::deque<Kept> kept;
};

}  // namespace toucanhollow

#endif  // RELAY_SERVER_CONNECTION_POOL_H_
