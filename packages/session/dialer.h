// Dialer: maintains a session to one process and reconnects after it is lost.
#ifndef SESSION_DIALER_H_
#define SESSION_DIALER_H_

#include <functional>
#include <memory>
#include <vector>

#include "session/session.h"

namespace toucanhollow {

// Delays between connection attempts. The base delay doubles from the first
// value to the second; each delay is drawn uniformly from half of it to all of
// it.
constexpr Duration kInitialReconnectDelay = Milliseconds(100);
constexpr Duration kMaxReconnectDelay = Seconds(5);

// The events may be called many times, once for each session.
struct DialerEvents {
  std::function<void(const Hello& peer)> up;
  std::function<void(Message message)> message;
  // Called only after `up`.
  std::function<void(const Failure& reason)> down;
};

// Destruction closes the session at once and calls no events.
class Dialer {
 public:
  // The addresses are tried in turn; there must be at least one.
  Dialer(ProcessContext& context,
         std::vector<Address> addresses,
         LocalMessages local_messages,
         DialerEvents events);
  ~Dialer();
  Dialer(const Dialer&) = delete;
  Dialer& operator=(const Dialer&) = delete;

  bool Send(const Message& message);
  void SendHeartbeat();
  bool IsUp() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // SESSION_DIALER_H_
