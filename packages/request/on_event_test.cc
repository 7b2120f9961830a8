#include "request/on_event.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr Incarnation kIncarnation{7};

// Applies events and records what the caller would receive.
struct Caller {
  RequestState state;
  std::string text;
  std::optional<AnswerEnd> complete;
  std::optional<Failure> failed;
  std::vector<RequestAction> last_actions;

  explicit Caller(bool repeatable = true, bool keyed = false) {
    this->state.repeatable = repeatable;
    this->state.keyed = keyed;
  }

  void Handle(const RequestEvent& event) {
    RequestStep step = OnEvent(std::move(this->state), event);
    this->state = std::move(step.state);
    this->last_actions = step.actions;
    for (const RequestAction& action : step.actions) {
      REQUIRE_FALSE((this->complete || this->failed));
      if (const auto* piece = std::get_if<DeliverPiece>(&action)) {
        this->text += piece->text;
      } else if (const auto* end = std::get_if<FinishComplete>(&action)) {
        this->complete = end->end;
      } else if (const auto* failure = std::get_if<FinishFailed>(&action)) {
        this->failed = failure->failure;
      }
    }
  }

  void BeginAttempt(const std::string& id, bool hedge = false) {
    this->Handle(AttemptStarted{{id}, {"endpoint-" + id}, kIncarnation, hedge});
  }
  void ReceivePiece(const std::string& id, std::uint64_t index) {
    this->Handle(
        PieceArrived{{id}, kIncarnation, index, std::to_string(index)});
  }
  void ReceiveEnd(const std::string& id, std::uint64_t count) {
    this->Handle(EndArrived{{id}, kIncarnation, {count, 200, "", ""}});
  }
  void CloseLink(const std::string& id) {
    this->Handle(AttemptFailed{{id},
                               kIncarnation,
                               false,
                               {ResultCode::kOutcomeUnknown, "link closed"}});
  }
  void RefuseAsFull(const std::string& id) {
    this->Handle(AttemptFailed{
        {id}, kIncarnation, true, {ResultCode::kEndpointFull, "full"}});
  }
};

// Guards against an answer with missing, repeated or reordered pieces when
// messages arrive in any order.
TEST_CASE("an answer is complete in any order of arrival") {
  std::mt19937 random(20261204);
  for (int round = 0; round < 200; ++round) {
    Caller caller;
    caller.BeginAttempt("a");
    std::vector<std::uint64_t> order = {0, 0, 1, 2, 2, 3, 4, 99};
    std::ranges::shuffle(order, random);
    for (const std::uint64_t index : order) {
      CHECK_FALSE(caller.failed);
      if (index == 99) {
        caller.ReceiveEnd("a", 5);
      } else {
        caller.ReceivePiece("a", index);
      }
    }
    REQUIRE(caller.complete);
    CHECK(caller.text == "01234");
  }
}

// Guards against pieces of an ended attempt or an old incarnation in the
// answer, and against a second attempt that starts again at the first piece.
TEST_CASE("late pieces of an ended attempt never reach the answer") {
  Caller caller;
  caller.BeginAttempt("a");
  caller.ReceivePiece("a", 0);
  caller.ReceivePiece("a", 2);
  caller.CloseLink("a");
  CHECK(caller.last_actions == std::vector<RequestAction>{StartAttempt{true}});
  CHECK(caller.state.delivered == 1);
  caller.BeginAttempt("b");
  caller.ReceivePiece("a", 1);
  caller.ReceiveEnd("a", 3);
  caller.Handle(PieceArrived{{"b"}, Incarnation{6}, 1, "old"});
  CHECK(caller.text == "0");
  caller.ReceivePiece("b", 1);
  caller.ReceiveEnd("b", 2);
  CHECK(caller.text == "01");
  CHECK(caller.complete);
}

// Guards against reporting "not run" after an attempt may have run.
TEST_CASE("a failure means not run only if no attempt may have run") {
  Caller refused;
  refused.BeginAttempt("a");
  refused.RefuseAsFull("a");
  CHECK(refused.last_actions ==
        std::vector<RequestAction>{StartAttempt{false}});
  refused.Handle(NoAttemptPossible{{ResultCode::kNoEndpointAvailable, ""}});
  REQUIRE(refused.failed);
  CHECK(refused.failed->code == ResultCode::kNoEndpointAvailable);

  for (const bool delivered : {false, true}) {
    Caller caller;
    caller.BeginAttempt("a");
    if (delivered) {
      caller.ReceivePiece("a", 0);
    }
    caller.CloseLink("a");
    caller.BeginAttempt("b");
    caller.RefuseAsFull("b");
    caller.Handle(NoAttemptPossible{{ResultCode::kNoEndpointAvailable, ""}});
    REQUIRE(caller.failed);
    CHECK(caller.failed->code == (delivered ? ResultCode::kAnswerTruncated
                                            : ResultCode::kOutcomeUnknown));
  }
}

// Guards against running a non-repeatable request twice.
TEST_CASE("a non-repeatable request is not retried once it may have run") {
  Caller caller(false);
  caller.BeginAttempt("a");
  caller.RefuseAsFull("a");
  CHECK(caller.last_actions == std::vector<RequestAction>{StartAttempt{false}});
  caller.BeginAttempt("b");
  caller.CloseLink("b");
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kOutcomeUnknown);
}

// Guards against reporting the outcome of a lost dispatch with a key before it
// is settled in the log.
TEST_CASE("a lost keyed dispatch is voided before its outcome is reported") {
  for (const bool never_runs : {false, true}) {
    Caller caller(false, true);
    caller.BeginAttempt("a");
    caller.CloseLink("a");
    CHECK(caller.last_actions ==
          std::vector<RequestAction>{VoidDispatch{{"a"}}});
    caller.Handle(NoAttemptPossible{{ResultCode::kNoEndpointAvailable, ""}});
    CHECK_FALSE(caller.failed);
    caller.Handle(VoidSettled{
        {"a"},
        never_runs,
        {never_runs ? ResultCode::kDispatchVoided : ResultCode::kOutcomeUnknown,
         ""}});
    if (never_runs) {
      CHECK(caller.last_actions ==
            std::vector<RequestAction>{StartAttempt{false}});
    } else {
      REQUIRE(caller.failed);
      CHECK(caller.failed->code == ResultCode::kOutcomeUnknown);
    }
  }
}

// Guards against reporting "not run" for a key that an earlier dispatch may
// have run: voiding the repeated dispatch says nothing about the earlier one.
TEST_CASE("a dispatch whose key has an unknown outcome is not voided") {
  Caller caller(false, true);
  caller.BeginAttempt("a");
  caller.Handle(
      AttemptFailed{{"a"},
                    kIncarnation,
                    false,
                    {ResultCode::kKeyOutcomeUnknown, "claimed before"}});
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kKeyOutcomeUnknown);
}

// Guards against running a call again, or reporting an unknown outcome, when
// the log holds its answer.
TEST_CASE("an answer stored in the log completes the request") {
  Caller caller(false, true);
  caller.BeginAttempt("a");
  caller.CloseLink("a");
  caller.Handle(StoredAnswer{{"b"}, "other", {1, 200, "", ""}});
  CHECK_FALSE(caller.complete);
  caller.Handle(StoredAnswer{{"a"}, "kept", {1, 201, "", ""}});
  REQUIRE(caller.complete);
  CHECK(caller.complete->status == 201);
  CHECK(caller.text == "kept");
}

// Guards against mixing two samplings in one answer, and against hedges that
// keep running after another attempt answered.
TEST_CASE("the first attempt that answers cancels the others") {
  Caller caller;
  caller.BeginAttempt("a");
  caller.BeginAttempt("b", true);
  caller.ReceivePiece("b", 0);
  CHECK(caller.last_actions ==
        std::vector<RequestAction>{CancelAttempt{{"a"}, {"endpoint-a"}},
                                   DeliverPiece{"0"}});
  caller.ReceivePiece("a", 1);
  CHECK(caller.text == "0");
  caller.ReceivePiece("b", 1);
  caller.ReceiveEnd("b", 2);
  CHECK(caller.text == "01");
}

// Guards against failing a request whose hedge is still running.
TEST_CASE("a request continues while one of its attempts is running") {
  Caller caller;
  caller.BeginAttempt("a");
  caller.BeginAttempt("b", true);
  caller.CloseLink("a");
  CHECK(caller.last_actions.empty());
  caller.ReceiveEnd("b", 0);
  CHECK(caller.complete);
}

// Guards against work that continues after the caller disconnected, and against
// reporting "not run" at the deadline although an attempt may have run.
TEST_CASE("a disconnected caller and the deadline cancel every attempt") {
  Caller disconnected;
  disconnected.BeginAttempt("a");
  disconnected.BeginAttempt("b", true);
  disconnected.Handle(CallerDisconnected{});
  CHECK(disconnected.last_actions.size() == 3);
  REQUIRE(disconnected.failed);
  CHECK(disconnected.failed->code == ResultCode::kCancelledByCaller);

  Caller late;
  late.BeginAttempt("a");
  late.Handle(DeadlinePassed{});
  CHECK(late.last_actions.size() == 2);
  REQUIRE(late.failed);
  CHECK(late.failed->code == ResultCode::kDeadlineExceededAfterSend);

  Caller queued;
  queued.Handle(DeadlinePassed{});
  REQUIRE(queued.failed);
  CHECK(queued.failed->code == ResultCode::kDeadlineTooShort);
}

// Guards against a request that is refused by one endpoint after another
// without end.
TEST_CASE("the number of attempts is bounded") {
  Caller caller;
  for (int i = 0; i < kMaxAttempts; ++i) {
    REQUIRE_FALSE(caller.failed);
    caller.BeginAttempt(std::to_string(i));
    caller.Handle(AttemptFailed{{std::to_string(i)},
                                kIncarnation,
                                true,
                                {ResultCode::kLeaving, "leaving"}});
  }
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kLeaving);
}

// Guards against failing a request long before its deadline because the
// endpoints were full for a moment.
TEST_CASE("a request waits when endpoints are full") {
  Caller caller;
  for (int i = 0; i < 3 * kMaxAttempts; ++i) {
    caller.BeginAttempt(std::to_string(i));
    caller.RefuseAsFull(std::to_string(i));
    CHECK(caller.last_actions ==
          std::vector<RequestAction>{StartAttempt{false}});
  }
  caller.Handle(DeadlinePassed{});
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kDeadlineTooShort);
}

}  // namespace
}  // namespace toucanhollow
