// A link on which both sides have greeted each other, with heartbeats.
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

// Agents send a heartbeat every second, because routing lives on it. Entry
// hosts only show that they are alive: at 1 s, 29 links would take an entry
// host over 6 KB/s with the acknowledgements.
constexpr Duration kAgentHeartbeatInterval = Seconds(1);
constexpr Duration kEntryHostHeartbeatInterval = Seconds(3);
// A peer that has sent nothing for so long is taken for lost. It is above the
// 2 s to 3 s in which routing suspects the peer, so that a short pause does
// not cut streams.
constexpr Duration kSilenceLimit = Seconds(8);

// What this process says of itself.
struct SessionSelf {
  std::function<Hello()> hello;
  std::function<Heartbeat()> heartbeat;
};

// Called from the loop, never from inside Send or Close.
struct SessionEvents {
  // The peer's greeting was accepted; Send works from now on.
  std::function<void(const Hello& peer)> greeted;
  std::function<void(Message message)> message;
  // Once, also if the session never came up. Codes: kLinkClosed,
  // kProtocolVersionMismatch, kLinkUnauthorized, kFrameMalformed.
  std::function<void(const Failure& reason)> closed;
};

// Destruction closes the link at once and calls nothing.
class Session {
 public:
  struct State;

  static std::shared_ptr<Session> Connect(ProcessContext& context,
                                          const Address& address,
                                          const SessionSelf& self,
                                          SessionEvents events);

  explicit Session(std::shared_ptr<State> state);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // False if the peer has not greeted, the link is closed or its queue is
  // full; the message is then not sent at all.
  bool Send(const Message& message);
  // Out of turn, when what it says has changed.
  void SendHeartbeat();
  // Sends what is queued first.
  void Close();

  // Nothing before the peer has greeted.
  const std::optional<Hello>& Peer() const;
  std::size_t QueuedBytes() const;

 private:
  std::shared_ptr<State> state;
};

// Accepts sessions until destroyed.
class SessionListener {
 public:
  // `accepted` takes the new session and gives its event callbacks.
  SessionListener(
      ProcessContext& context,
      const Address& address,
      SessionSelf self,
      std::function<SessionEvents(std::shared_ptr<Session>)> accepted);
  ~SessionListener();

  // Empty if it listens, else the reason why not.
  const std::string& Error() const;
  int Port() const;

 private:
  std::unique_ptr<LinkListener> listener;
};

}  // namespace toucanhollow

#endif  // SESSION_SESSION_H_
