// Keeps a session to one process: connects, and connects again after a loss.
#ifndef SESSION_DIALER_H_
#define SESSION_DIALER_H_

#include <functional>
#include <memory>
#include <vector>

#include "session/session.h"

namespace toucanhollow {

// Waits between attempts; each is drawn from half to the whole of a value
// that doubles from the first to the last.
constexpr Duration kFirstReconnect = Milliseconds(100);
constexpr Duration kLastReconnect = Seconds(5);

// The events may come many times, once for each session.
struct DialerEvents {
  std::function<void(const Hello& peer)> up;
  std::function<void(Message message)> message;
  // Only after `up`.
  std::function<void(const Failure& reason)> down;
};

// Destruction closes the session at once and calls nothing.
class Dialer {
 public:
  // The addresses are tried in turn; there is at least one.
  Dialer(ProcessContext& context,
         std::vector<Address> addresses,
         SessionSelf self,
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
