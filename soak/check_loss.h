// Decides whether a request whose connection ended without a complete answer
// was lost.
#ifndef SOAK_CHECK_LOSS_H_
#define SOAK_CHECK_LOSS_H_

#include <optional>
#include <string_view>

#include "base/time.h"

namespace toucanhollow {

enum class RequestEndKind {
  kLost,  // the only one that breaks a promise
  kCallerLeft,
  kNotConnected,   // nothing accepted the connection
  kHostDisturbed,  // the soak killed or paused the host meanwhile
  kSoakStalled,    // the soak itself stood still meanwhile
  kUnfinished,     // the caller had not sent the whole request
  kCrossed,  // it crossed the close of a connection on which none was under way
  kNotAccepted,  // it crossed the close of the listener of a stopping host
  kServerBroke,  // the server that ran it broke off
  kTimedOut,     // its route's timeout had passed
  kGraceOver,    // its server was still at work when the grace time ended
};

std::string_view RequestEndName(RequestEndKind kind);

struct RequestEnd {
  TimePoint sent_at;
  // When the last byte was sent; empty if it was not.
  std::optional<TimePoint> whole_at;
  TimePoint ended_at;
  Duration timeout{0};
  bool caller_left = false;
  bool not_connected = false;
  // Another request had been answered on the connection, or was under way.
  bool on_used_connection = false;
  // It was answered, so that none was under way when this one was sent.
  bool on_idle_connection = false;
  // The answer to an earlier request on the connection announced its close.
  bool close_announced = false;
  // What became of the request before it on the connection, which ended with
  // it.
  std::optional<RequestEndKind> behind;
  // A server began to run it.
  bool ran = false;
  // When a server had sent its whole answer.
  std::optional<TimePoint> finished_at;
  bool server_broke = false;
  // The last time that the soak killed the host or let it stand still.
  TimePoint host_disturbed_at;
  TimePoint soak_stalled_at;
  // When the host was told to end, if it was, and its grace time.
  std::optional<TimePoint> host_stopping_since;
  Duration grace{0};
};

// A request that crosses a close counts as lost later than this after its last
// byte.
inline constexpr Duration kLossSlack = Milliseconds(200);

RequestEndKind ClassifyRequestEnd(const RequestEnd& end);

}  // namespace toucanhollow

#endif  // SOAK_CHECK_LOSS_H_
