// Session: a link on which both sides have exchanged Hello messages, with
// heartbeats.
#ifndef SESSION_SESSION_H_
#define SESSION_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/address.h"
#include "base/result.h"
#include "link/link.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

// Agents send a heartbeat every second, because routing depends on it. Entry
// hosts only show that they are running: at an interval of 1 s, 29 links would
// cause over 6 KB/s of traffic at an entry host, including the
// acknowledgements.
constexpr Duration kAgentHeartbeatInterval = Seconds(1);
constexpr Duration kEntryHostHeartbeatInterval = Seconds(3);
// A link is closed if the peer has sent nothing for this time. It is longer
// than the 2 s to 3 s after which routing suspects the peer, so that a short
// pause does not cut streams.
constexpr Duration kPeerTimeout = Seconds(8);

// Creates the messages that describe this process to a peer.
struct LocalMessages {
  std::function<Hello()> hello;
  std::function<Heartbeat()> heartbeat;
};

// Called from the event loop, never from inside Send or Close.
struct SessionEvents {
  // The peer's Hello was accepted; Send works from now on.
  std::function<void(const Hello& peer)> established;
  std::function<void(Message message)> message;
  // Called once, also if the session was never established. Codes: kLinkClosed,
  // kProtocolVersionMismatch, kLinkUnauthorized, kFrameMalformed.
  std::function<void(const Failure& reason)> closed;
};

// Destruction closes the link at once and calls no events.
class Session {
 public:
  struct State;

  static std::shared_ptr<Session> Connect(ProcessContext& context,
                                          const Address& address,
                                          const LocalMessages& local_messages,
                                          SessionEvents events);

  explicit Session(std::shared_ptr<State> state);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Returns false if the peer has not sent its Hello, the link is closed or its
  // queue is full; the message is then not sent at all.
  bool Send(const Message& message);
  // Sends a heartbeat before the next interval, when its content has changed.
  void SendHeartbeat();
  // Closes the link after sending the queued messages.
  void Close();

  // The peer's Hello; empty before it has arrived.
  const std::optional<Hello>& Peer() const;
  std::size_t QueuedBytes() const;

 private:
  std::shared_ptr<State> state;
};

// Accepts sessions until destroyed.
class SessionListener {
 public:
  // `accepted` receives the new session and returns its event callbacks.
  SessionListener(
      ProcessContext& context,
      const Address& address,
      LocalMessages local_messages,
      std::function<SessionEvents(std::shared_ptr<Session>)> accepted);
  ~SessionListener();

  // Empty if it listens, else the reason of the failure.
  const std::string& Error() const;
  int Port() const;

 private:
  std::unique_ptr<LinkListener> listener;
};

}  // namespace toucanhollow

#endif  // SESSION_SESSION_H_
