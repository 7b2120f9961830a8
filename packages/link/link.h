// A link between two processes of this project: WebSocket binary messages over
// TCP. This header must compile as C++17, as link.cc does for websocketpp.
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
  // Limits of the send queue: Send returns false if a message would exceed
  // them. A message is always accepted while the queue is empty.
  std::size_t max_queued_bytes = std::size_t{4} << 20;
  std::size_t max_queued_messages = 1024;
  // A longer message from the peer closes the link.
  std::size_t max_message_bytes = std::size_t{9} << 20;
  // The link ends if a handshake, or the peer's answer to a close, takes
  // longer.
  Duration handshake_timeout = Seconds(3);
};

// Callbacks are called from the event loop, never from within Send or Close.
struct LinkEvents {
  std::function<void()> opened;
  std::function<void(std::string_view message)> message;
  // Called once, also if the connection attempt fails.
  std::function<void(const std::string& reason)> closed;
};

// The destructor closes the link without the closing handshake; no callback is
// called after it.
class Link {
 public:
  struct State;

  // Starts to connect to an IPv4 address; `events` report the outcome.
  static std::shared_ptr<Link> Connect(EventLoop& loop,
                                       const std::string& address,
                                       int port,
                                       const LinkLimits& limits,
                                       LinkEvents events);

  explicit Link(std::shared_ptr<State> state);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Returns false if the link is not open or its queue is full; nothing of the
  // message is sent then.
  bool Send(std::string_view message);
  // Sends the queued messages, then performs the closing handshake.
  void Close();

  bool IsOpen() const;
  std::size_t QueuedBytes() const;
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

 private:
  std::shared_ptr<State> state;
};

// Accepts links on an IPv4 address until it is destroyed.
class LinkListener {
 public:
  // `accepted` receives each new link and returns its callbacks.
  LinkListener(EventLoop& loop,
               const std::string& address,
               int port,
               const LinkLimits& limits,
               std::function<LinkEvents(std::shared_ptr<Link>)> accepted);
  ~LinkListener();

  // Empty if the listener is listening, otherwise the reason for the failure.
  const std::string& Error() const;
  // The bound port, which the system chose if port 0 was requested.
  int Port() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // LINK_LINK_H_
