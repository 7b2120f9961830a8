// Non-blocking TCP connections and listeners on the event loop.
#ifndef HTTP_STREAM_TCP_CONNECTION_H_
#define HTTP_STREAM_TCP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"
#include "event_loop/event_loop.h"

namespace toucanhollow {

enum class ConnectionEnd {
  kOrderly,       // the peer ended its side
  kReset,         // reset, or a write failed
  kNotConnected,  // no connection was made
};

struct ConnectionCallbacks {
  std::function<void()> on_connected;
  std::function<void(std::string_view bytes)> on_data;
  // All bytes given to Write have gone to the system.
  std::function<void()> on_drained;
  // Called once; no callback follows.
  std::function<void(ConnectionEnd end)> on_end;
};

// May be destroyed inside its own callbacks; destruction closes the socket.
class TcpConnection {
 public:
  // Takes over a connected socket.
  TcpConnection(EventLoop& loop, int socket);
  // Begins to connect. A failure is reported through on_end, never inside the
  // constructor.
  TcpConnection(EventLoop& loop, const Address& address);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetCallbacks(ConnectionCallbacks callbacks);
  // Makes the destruction reset the connection: bytes that the peer has not
  // taken are lost, where an orderly end would still deliver them.
  void ResetOnClose();
  // Queues bytes. They leave at once if the system takes them.
  void Write(std::string_view bytes);
  // Bytes that the system has not taken yet.
  std::size_t unsent() const;
  // False while no byte given to Write can have left this host.
  bool any_sent() const;
  bool connected() const;
  // Stops or continues calling on_data; the peer is slowed by TCP.
  void SetReading(bool reading);

 private:
  struct State;
  std::shared_ptr<State> state;
};

class TcpListener {
 public:
  // Fails with kSettingsInvalid if the address cannot be bound.
  static Result<std::unique_ptr<TcpListener>> Listen(
      EventLoop& loop,
      const Address& address,
      std::function<void(int socket)> on_accept);
  ~TcpListener();
  std::uint16_t Port() const;
  // Accepts all connections that wait now.
  void TakeAll();

 private:
  TcpListener() = default;
  // Accepts at most so many.
  void Take(int most);

  int socket = -1;
  std::function<void(int socket)> on_accept;
  std::unique_ptr<IoWatcher> watcher;
};

}  // namespace toucanhollow

#endif  // HTTP_STREAM_TCP_CONNECTION_H_
