#include "soak/check_loss.h"

namespace toucanhollow {
namespace {

// A request that is sent later than this after the host was told to end can be
// refused in time.
constexpr Duration kLatestSent = Seconds(3);

// The host may end a request at which a server is at work in the last sixth of
// the grace time.
bool GraceWasOver(const RequestEnd& end) {
  if (!end.host_stopping_since || !end.ran ||
      end.sent_at > *end.host_stopping_since + kLatestSent) {
    return false;
  }
  const TimePoint last_sixth = *end.host_stopping_since + end.grace * 5 / 6;
  return end.finished_at.value_or(end.ended_at) >= last_sixth;
}

bool CrossedClose(const RequestEnd& end) {
  if (end.ran) {
    return false;
  }
  return end.close_announced ||
         (end.on_idle_connection && end.ended_at <= *end.whole_at + kLossSlack);
}

// A stopping host closes its listener once callers no longer come to it, which
// takes two failed probes a second apart. Connections that the kernel accepts
// in that moment are reset.
bool CrossedListenerClose(const RequestEnd& end) {
  constexpr Duration kProbes = Seconds(2);
  return !end.ran && !end.on_used_connection && end.host_stopping_since &&
         end.ended_at >= *end.host_stopping_since + kProbes &&
         end.ended_at <= *end.whole_at + kLossSlack;
}

}  // namespace

std::string_view RequestEndName(RequestEndKind kind) {
  switch (kind) {
    case RequestEndKind::kLost:
      return "lost";
    case RequestEndKind::kCallerLeft:
      return "caller left";
    case RequestEndKind::kNotConnected:
      return "not connected";
    case RequestEndKind::kHostDisturbed:
      return "host killed or paused";
    case RequestEndKind::kSoakStalled:
      return "the soak stood still";
    case RequestEndKind::kUnfinished:
      return "not sent whole";
    case RequestEndKind::kCrossed:
      return "crossed a close";
    case RequestEndKind::kNotAccepted:
      return "not accepted";
    case RequestEndKind::kServerBroke:
      return "server broke off";
    case RequestEndKind::kTimedOut:
      return "timed out";
    case RequestEndKind::kGraceOver:
      return "at work when the grace time ended";
  }
  return "";
}

RequestEndKind ClassifyRequestEnd(const RequestEnd& end) {
  if (end.caller_left) {
    return RequestEndKind::kCallerLeft;
  }
  if (end.not_connected) {
    return RequestEndKind::kNotConnected;
  }
  if (end.host_disturbed_at >= end.sent_at) {
    return RequestEndKind::kHostDisturbed;
  }
  if (end.soak_stalled_at >= end.sent_at) {
    return RequestEndKind::kSoakStalled;
  }
  if (!end.whole_at) {
    return RequestEndKind::kUnfinished;
  }
  if (end.behind && *end.behind != RequestEndKind::kLost && !end.ran) {
    return *end.behind;
  }
  if (CrossedClose(end)) {
    return RequestEndKind::kCrossed;
  }
  if (CrossedListenerClose(end)) {
    return RequestEndKind::kNotAccepted;
  }
  if (end.server_broke) {
    return RequestEndKind::kServerBroke;
  }
  if (end.ended_at - end.sent_at >= end.timeout) {
    return RequestEndKind::kTimedOut;
  }
  if (GraceWasOver(end)) {
    return RequestEndKind::kGraceOver;
  }
  return RequestEndKind::kLost;
}

}  // namespace toucanhollow
