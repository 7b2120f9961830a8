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

constexpr Incarnation kRun{7};

// Applies events and keeps what the caller would see.
struct Caller {
  RequestLife life;
  std::string text;
  std::optional<AnswerEnd> whole;
  std::optional<Failure> failed;
  std::vector<RequestAction> last;

  explicit Caller(bool repeatable = true, bool keyed = false) {
    this->life.repeatable = repeatable;
    this->life.keyed = keyed;
  }

  void On(const RequestEvent& event) {
    RequestStep step = OnEvent(std::move(this->life), event);
    this->life = std::move(step.life);
    this->last = step.actions;
    for (const RequestAction& action : step.actions) {
      REQUIRE_FALSE((this->whole || this->failed));
      if (const auto* piece = std::get_if<DeliverPiece>(&action)) {
        this->text += piece->text;
      } else if (const auto* end = std::get_if<FinishWhole>(&action)) {
        this->whole = end->end;
      } else if (const auto* failure = std::get_if<FinishFailed>(&action)) {
        this->failed = failure->failure;
      }
    }
  }

  void Start(const std::string& id, bool hedge = false) {
    this->On(AttemptStarted{{id}, {"endpoint-" + id}, kRun, hedge});
  }
  void Piece(const std::string& id, std::uint64_t index) {
    this->On(PieceArrived{{id}, kRun, index, std::to_string(index)});
  }
  void End(const std::string& id, std::uint64_t count) {
    this->On(EndArrived{{id}, kRun, {count, 200, "", ""}});
  }
  void Lose(const std::string& id) {
    this->On(AttemptFailed{
        {id}, kRun, false, {ResultCode::kOutcomeUnknown, "link closed"}});
  }
  void Refuse(const std::string& id) {
    this->On(
        AttemptFailed{{id}, kRun, true, {ResultCode::kEndpointFull, "full"}});
  }
};

// Guards against an answer with missing, repeated or reordered pieces when
// messages arrive in any order.
TEST_CASE("an answer is whole in any order of arrival") {
  std::mt19937 random(20261204);
  for (int round = 0; round < 200; ++round) {
    Caller caller;
    caller.Start("a");
    std::vector<std::uint64_t> order = {0, 0, 1, 2, 2, 3, 4, 99};
    std::ranges::shuffle(order, random);
    for (const std::uint64_t index : order) {
      CHECK_FALSE(caller.failed);
      if (index == 99) {
        caller.End("a", 5);
      } else {
        caller.Piece("a", index);
      }
    }
    REQUIRE(caller.whole);
    CHECK(caller.text == "01234");
  }
}

// Guards against pieces of an earlier attempt or an old incarnation in the
// answer, and against a second attempt that starts from the beginning.
TEST_CASE("late pieces of an ended attempt never reach the answer") {
  Caller caller;
  caller.Start("a");
  caller.Piece("a", 0);
  caller.Piece("a", 2);
  caller.Lose("a");
  CHECK(caller.last == std::vector<RequestAction>{StartAttempt{true}});
  CHECK(caller.life.delivered == 1);
  caller.Start("b");
  caller.Piece("a", 1);
  caller.End("a", 3);
  caller.On(PieceArrived{{"b"}, Incarnation{6}, 1, "old"});
  CHECK(caller.text == "0");
  caller.Piece("b", 1);
  caller.End("b", 2);
  CHECK(caller.text == "01");
  CHECK(caller.whole);
}

// Guards against a refusal that says "not run" after an attempt may have run.
TEST_CASE("a refusal says not run only if no attempt may have run") {
  Caller clean;
  clean.Start("a");
  clean.Refuse("a");
  CHECK(clean.last == std::vector<RequestAction>{StartAttempt{false}});
  clean.On(NoAttemptPossible{{ResultCode::kNoEndpointAvailable, ""}});
  REQUIRE(clean.failed);
  CHECK(clean.failed->code == ResultCode::kNoEndpointAvailable);

  for (const bool delivered : {false, true}) {
    Caller caller;
    caller.Start("a");
    if (delivered) {
      caller.Piece("a", 0);
    }
    caller.Lose("a");
    caller.Start("b");
    caller.Refuse("b");
    caller.On(NoAttemptPossible{{ResultCode::kNoEndpointAvailable, ""}});
    REQUIRE(caller.failed);
    CHECK(caller.failed->code == (delivered ? ResultCode::kAnswerTruncated
                                            : ResultCode::kOutcomeUnknown));
  }
}

// Guards against a second run of a request that may not be repeated.
TEST_CASE("a non-repeatable request is not retried once it may have run") {
  Caller caller(false);
  caller.Start("a");
  caller.Refuse("a");
  CHECK(caller.last == std::vector<RequestAction>{StartAttempt{false}});
  caller.Start("b");
  caller.Lose("b");
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kOutcomeUnknown);
}

// Guards against an answer about a lost keyed dispatch that the log has not
// decided.
TEST_CASE("a lost keyed dispatch is voided before it is answered") {
  for (const bool never_runs : {false, true}) {
    Caller caller(false, true);
    caller.Start("a");
    caller.Lose("a");
    CHECK(caller.last == std::vector<RequestAction>{VoidDispatch{{"a"}}});
    caller.On(NoAttemptPossible{{ResultCode::kNoEndpointAvailable, ""}});
    CHECK_FALSE(caller.failed);
    caller.On(VoidSettled{
        {"a"},
        never_runs,
        {never_runs ? ResultCode::kDispatchVoided : ResultCode::kOutcomeUnknown,
         ""}});
    if (never_runs) {
      CHECK(caller.last == std::vector<RequestAction>{StartAttempt{false}});
    } else {
      REQUIRE(caller.failed);
      CHECK(caller.failed->code == ResultCode::kOutcomeUnknown);
    }
  }
}

// Guards against "not run" for a key that an earlier dispatch may have run:
// the void of the repeated dispatch is true, but says nothing about the key.
TEST_CASE("an outcome that the log leaves unknown is not voided") {
  Caller caller(false, true);
  caller.Start("a");
  caller.On(AttemptFailed{
      {"a"}, kRun, false, {ResultCode::kKeyOutcomeUnknown, "claimed before"}});
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kKeyOutcomeUnknown);
}

// Guards against a second run, or an unknown outcome, of a call whose answer
// the log holds.
TEST_CASE("an answer kept in the log ends the request") {
  Caller caller(false, true);
  caller.Start("a");
  caller.Lose("a");
  caller.On(KeptAnswer{{"b"}, "other", {1, 200, "", ""}});
  CHECK_FALSE(caller.whole);
  caller.On(KeptAnswer{{"a"}, "kept", {1, 201, "", ""}});
  REQUIRE(caller.whole);
  CHECK(caller.whole->status == 201);
  CHECK(caller.text == "kept");
}

// Guards against two samplings mixed in one answer, and against hedges that
// run on after the other attempt answered.
TEST_CASE("the first attempt that answers cancels the others") {
  Caller caller;
  caller.Start("a");
  caller.Start("b", true);
  caller.Piece("b", 0);
  CHECK(caller.last ==
        std::vector<RequestAction>{CancelAttempt{{"a"}, {"endpoint-a"}},
                                   DeliverPiece{"0"}});
  caller.Piece("a", 1);
  CHECK(caller.text == "0");
  caller.Piece("b", 1);
  caller.End("b", 2);
  CHECK(caller.text == "01");
}

// Guards against a failed attempt that ends a request whose hedge still runs.
TEST_CASE("a failed attempt leaves the request to the other one") {
  Caller caller;
  caller.Start("a");
  caller.Start("b", true);
  caller.Lose("a");
  CHECK(caller.last.empty());
  caller.End("b", 0);
  CHECK(caller.whole);
}

// Guards against work that goes on for a caller that has left, and against a
// false "not run" at the deadline.
TEST_CASE("the caller's leaving and the deadline cancel every attempt") {
  Caller left;
  left.Start("a");
  left.Start("b", true);
  left.On(CallerLeft{});
  CHECK(left.last.size() == 3);
  REQUIRE(left.failed);
  CHECK(left.failed->code == ResultCode::kCancelledByCaller);

  Caller late;
  late.Start("a");
  late.On(DeadlinePassed{});
  CHECK(late.last.size() == 2);
  REQUIRE(late.failed);
  CHECK(late.failed->code == ResultCode::kDeadlineExceededAfterSend);

  Caller queued;
  queued.On(DeadlinePassed{});
  REQUIRE(queued.failed);
  CHECK(queued.failed->code == ResultCode::kDeadlineTooShort);
}

// Guards against an endless walk from refusal to refusal.
TEST_CASE("the number of attempts is bounded") {
  Caller caller;
  for (int i = 0; i < kMaxAttempts; ++i) {
    REQUIRE_FALSE(caller.failed);
    caller.Start(std::to_string(i));
    caller.On(AttemptFailed{
        {std::to_string(i)}, kRun, true, {ResultCode::kLeaving, "leaving"}});
  }
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kLeaving);
}

// Guards against a request that fails, though its deadline is far, because it
// met endpoints that were full for a moment.
TEST_CASE("full endpoints make a request wait and not fail") {
  Caller caller;
  for (int i = 0; i < 3 * kMaxAttempts; ++i) {
    caller.Start(std::to_string(i));
    caller.Refuse(std::to_string(i));
    CHECK(caller.last == std::vector<RequestAction>{StartAttempt{false}});
  }
  caller.On(DeadlinePassed{});
  REQUIRE(caller.failed);
  CHECK(caller.failed->code == ResultCode::kDeadlineTooShort);
}

}  // namespace
}  // namespace toucanhollow
