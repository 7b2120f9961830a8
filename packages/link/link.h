// A link between two own processes: WebSocket binary frames over TCP. The
// header compiles as C++17, because link.cc includes websocketpp.
#ifndef LINK_LINK_H_
#define LINK_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "event_loop/event_loop.h"

namespace toucanhollow {

struct LinkLimits {
  // Bytes and messages that wait for the peer before Send refuses.
  std::size_t max_queued_bytes = std::size_t{4} << 20;
  std::size_t max_queued_messages = 1024;
  // A longer message from the peer closes the link.
  std::size_t max_message_bytes = std::size_t{9} << 20;
  // A handshake, or a close that the peer does not answer, ends after this.
  Duration handshake_timeout = Seconds(3);
};

// Called from the loop, never from inside Send or Close.
struct LinkEvents {
  std::function<void()> opened;
  std::function<void(std::string_view message)> message;
  // Called once, also when the connection attempt failed.
  std::function<void(const std::string& reason)> closed;
};

// Destruction closes the socket at once and calls nothing.
class Link {
 public:
  struct State;

  // Connects to an IPv4 address.
  static std::shared_ptr<Link> Connect(EventLoop& loop,
                                       const std::string& address,
                                       int port,
                                       const LinkLimits& limits,
                                       LinkEvents events);

  explicit Link(std::shared_ptr<State> state);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // False if the link is not open or its queue is full; the message is then
  // not sent at all.
  bool Send(std::string_view message);
  // Sends what is queued, then closes in agreement with the peer.
  void Close();

  bool IsOpen() const;
  std::size_t QueuedBytes() const;
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

 private:
  std::shared_ptr<State> state;
};

// Accepts links on an IPv4 address until destroyed.
class LinkListener {
 public:
  // `accepted` takes the new link and gives its event callbacks.
  LinkListener(EventLoop& loop,
               const std::string& address,
               int port,
               const LinkLimits& limits,
               std::function<LinkEvents(std::shared_ptr<Link>)> accepted);
  ~LinkListener();

  // Empty if the listener listens, else the reason why not.
  const std::string& Error() const;
  // The port in use; differs from the one asked for if that was 0.
  int Port() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // LINK_LINK_H_
