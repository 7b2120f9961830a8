// FaultProxy: a TCP proxy on the loopback that delays, resets or silences the
// connections through it.
#ifndef STANDINS_FAULT_PROXY_FAULT_PROXY_H_
#define STANDINS_FAULT_PROXY_FAULT_PROXY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_stream/tcp_connection.h"

namespace toucanhollow {

enum class ProxyMode {
  kPass,
  kDelay,   // every piece comes later
  kSilent,  // connections stay open and nothing comes through any more
  kOneWay,  // the target gets everything, and its answers are lost
  kReset,   // connections are reset, and new ones too
};

class FaultProxy {
 public:
  FaultProxy(EventLoop& loop, Address target);

  std::uint16_t Port() const { return this->listener->Port(); }
  // Connections that fell silent stay so; the others follow the new mode.
  void SetMode(ProxyMode mode);
  // Nothing passes any more on the connections that are open now. New ones
  // follow the mode.
  void SilenceOpenConnections();

 private:
  struct Pair {
    std::unique_ptr<TcpConnection> caller;
    std::unique_ptr<TcpConnection> target;
    bool requests_lost = false;
    bool answers_lost = false;
    std::uint64_t next_piece = 0;
    std::map<std::uint64_t, std::unique_ptr<Timer>> delayed;
  };

  void Accept(int socket);
  void Forward(std::uint64_t number, bool to_target, std::string bytes);
  void Deliver(std::uint64_t number, bool to_target, const std::string& bytes);
  void Close(std::uint64_t number, bool reset);

  EventLoop& loop;
  Address target;
  ProxyMode mode = ProxyMode::kPass;
  std::unique_ptr<TcpListener> listener;
  std::map<std::uint64_t, Pair> pairs;
  std::uint64_t next_pair = 1;
};

}  // namespace toucanhollow

#endif  // STANDINS_FAULT_PROXY_FAULT_PROXY_H_
