// A UDP socket on the event loop.
#ifndef DATAGRAM_DATAGRAM_SOCKET_H_
#define DATAGRAM_DATAGRAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>

#include "base/address.h"
#include "base/result.h"
#include "event_loop/event_loop.h"

namespace toucanhollow {

// May be destroyed inside its own callback.
class DatagramSocket {
 public:
  using ReceiveCallback =
      std::function<void(const Address& from, std::string_view bytes)>;

  // Binds a socket; the system chooses the port if it is 0. Fails with
  // kSettingsInvalid if the address cannot be bound.
  static Result<std::unique_ptr<DatagramSocket>>
  Bind(EventLoop& loop, const Address& address, ReceiveCallback on_receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Never blocks. A datagram that the system refuses is dropped without an
  // error, as any datagram may be lost on the network.
  void Send(const Address& to, std::string_view bytes);

  // The address that the socket is bound to, with the port that was chosen.
  Address BoundAddress() const;

 private:
  DatagramSocket(EventLoop& loop, int socket, ReceiveCallback on_receive);
  void OnReadable();

  int socket;
  ReceiveCallback on_receive;
  std::unique_ptr<IoWatcher> watcher;
  // Expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // DATAGRAM_DATAGRAM_SOCKET_H_
