// DatagramSocket: sends and receives UDP datagrams on the event loop.
#ifndef DATAGRAM_DATAGRAM_SOCKET_H_
#define DATAGRAM_DATAGRAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>

#include "base/address.h"
#include "base/result.h"
#include "event_loop/event_loop.h"

namespace toucanhollow {

class DatagramSocket {
 public:
  using Received =
      std::function<void(const Address& from, std::string_view bytes)>;

  // A port of 0 takes any free one. Fails with kSettingsInvalid if the address
  // cannot be bound.
  static Result<std::unique_ptr<DatagramSocket>> Bind(EventLoop& loop,
                                                      const Address& address,
                                                      Received received);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Never waits. A datagram that the system does not take is lost, as it could
  // be on the network.
  void Send(const Address& to, std::string_view bytes);

  // The address that the socket is bound to.
  Address BoundAddress() const;

 private:
  DatagramSocket(EventLoop& loop, int socket, Received received);
  void OnReadable();

  int socket;
  Received received;
  std::unique_ptr<IoWatcher> watcher;
};

}  // namespace toucanhollow

#endif  // DATAGRAM_DATAGRAM_SOCKET_H_
