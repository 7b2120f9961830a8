#include "soak/check_loss.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

// A request sent at 10 s that ended 300 ms later and had run.
RequestEnd EndOfRun() {
  RequestEnd end;
  end.sent_at = At(10000);
  end.whole_at = At(10000);
  end.ended_at = At(10300);
  end.timeout = Seconds(2);
  end.ran = true;
  end.grace = Seconds(4);
  return end;
}

// Guards against a request that ends without an answer and is taken for one
// that may.
TEST_CASE("a request without an answer is lost unless there is a reason") {
  RequestEnd end = EndOfRun();
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end.ran = false;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end = EndOfRun();
  end.caller_left = true;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kCallerLeft);
  end = EndOfRun();
  end.not_connected = true;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kNotConnected);
  end = EndOfRun();
  end.whole_at.reset();
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kUnfinished);
  end = EndOfRun();
  end.server_broke = true;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kServerBroke);
  end = EndOfRun();
  end.ended_at = At(12000);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kTimedOut);
}

// Guards against a disturbance before the request that excuses its loss.
TEST_CASE("a host that was disturbed before a request has to answer it") {
  RequestEnd end = EndOfRun();
  end.host_disturbed_at = At(9999);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end.host_disturbed_at = At(10000);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kHostDisturbed);
  end = EndOfRun();
  end.soak_stalled_at = At(9999);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end.soak_stalled_at = At(10000);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kSoakStalled);
}

// Guards against requests that the host has read and that are taken for ones
// which crossed the close of their connection.
TEST_CASE("only requests on idle connections cross a close") {
  RequestEnd end = EndOfRun();
  end.ran = false;
  end.on_used_connection = true;
  end.on_idle_connection = true;
  end.ended_at = end.sent_at + kLossSlack;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kCrossed);
  end.ended_at += Milliseconds(1);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end.close_announced = true;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kCrossed);
  end.ran = true;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end = EndOfRun();
  end.ran = false;
  end.ended_at = end.sent_at + Milliseconds(1);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
}

// Guards against requests on new connections that a stopping host drops before
// callers stay away, or has read.
TEST_CASE("only a stopping host drops new connections, and late") {
  RequestEnd end = EndOfRun();
  end.ran = false;
  end.ended_at = end.sent_at + kLossSlack;
  end.host_stopping_since = end.ended_at - Seconds(2);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kNotAccepted);
  *end.host_stopping_since += Milliseconds(1);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end.host_stopping_since = At(7000);
  end.ended_at += Milliseconds(1);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end.ended_at = end.sent_at;
  end.on_used_connection = true;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
}

// Guards against a pipelined request that is lost with one that was lost, or is
// counted for a connection that had to end.
TEST_CASE("a request behind one that ended shares its reason unless it ran") {
  RequestEnd end = EndOfRun();
  end.behind = RequestEndKind::kServerBroke;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end.ran = false;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kServerBroke);
  end.behind = RequestEndKind::kLost;
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
}

// Guards against a stop that excuses more than work at the end of the grace
// time.
TEST_CASE("the grace time excuses only work in its last sixth") {
  RequestEnd end = EndOfRun();
  end.host_stopping_since = At(7000);
  end.ended_at = At(10400);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kGraceOver);
  end.finished_at = At(10334);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kGraceOver);
  end.finished_at = At(10333);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end = EndOfRun();
  end.host_stopping_since = At(7000);
  end.ended_at = At(10300);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  // Sent too late after the signal.
  end.host_stopping_since = At(6999);
  end.ended_at = At(10400);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
  end = EndOfRun();
  end.ran = false;
  end.host_stopping_since = At(7000);
  end.ended_at = At(10400);
  CHECK(ClassifyRequestEnd(end) == RequestEndKind::kLost);
}

}  // namespace
}  // namespace toucanhollow
