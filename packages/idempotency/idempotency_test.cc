#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "idempotency/claim_agent.h"
#include "idempotency/claim_fold.h"
#include "idempotency/claim_rate.h"
#include "idempotency/decide_run.h"
#include "idempotency/idempotency_key.h"
#include "idempotency/void_watch.h"

namespace toucanhollow {
namespace {

constexpr WallTime kStart{Seconds(1'000'000)};
constexpr TimePoint kNow{Seconds(50)};
constexpr Incarnation kFirst{1};

ScopedKey Key(const std::string& token = "k", WallTime issued = kStart) {
  return {issued, {"acme"}, {"fees"}, token};
}

ClaimRecord Claim(const std::string& dispatch,
                  const std::string& agent = "a",
                  Incarnation incarnation = kFirst,
                  std::uint64_t digest = 7) {
  return {Key(), digest, {dispatch}, {agent}, incarnation};
}

ReleaseRecord Release(const std::string& dispatch,
                      const std::string& agent = "a",
                      Incarnation incarnation = kFirst) {
  return {Key(), {dispatch}, {agent}, incarnation};
}

// A log in one test: appended entries get the next offset and 1 ms each.
struct TestLog {
  std::vector<ClaimsEntry> entries;

  const ClaimsEntry& Append(std::vector<ClaimsRecord> records) {
    const auto offset = static_cast<LogOffset>(this->entries.size() + 1);
    this->entries.push_back(
        {offset, kStart + Milliseconds(offset), std::move(records)});
    return this->entries.back();
  }

  ClaimFold Fold() const {
    ClaimFold fold;
    for (const ClaimsEntry& entry : this->entries) {
      fold = FoldClaim(std::move(fold), entry).fold;
    }
    return fold;
  }
};

ClaimOutcome FateOf(const TestLog& log, const std::string& dispatch) {
  return log.Fold().keys.at(Key()).outcomes.at({dispatch});
}

// An agent whose log is replayed, with a link to a TestLog.
struct TestAgent {
  ClaimAgent agent = ObserveClaimLogEnd(MakeClaimAgent({"a"}, kFirst, 3), 0);
  std::vector<ClaimAction> actions;

  void Take(ClaimStep step) {
    this->agent = std::move(step.agent);
    this->actions.insert(this->actions.end(), step.actions.begin(),
                         step.actions.end());
  }
  void Receive(const std::string& id, TimePoint start_by = kNow + Seconds(1)) {
    this->Take(ReceiveDispatch(std::move(this->agent),
                               {{id}, Key(), 7, kFirst, start_by}, kStart,
                               kNow));
  }
  void Advance(TimePoint now = kNow) {
    this->Take(AdvanceClaims(std::move(this->agent), now));
  }
  void Read(const ClaimsEntry& entry, TimePoint now = kNow) {
    this->Take(ReadClaims(std::move(this->agent), entry, now));
  }
  void Appended(AppendOutcome outcome, TimePoint now = kNow) {
    this->Take(RecordAppend(std::move(this->agent), outcome, now));
  }
  std::vector<ClaimsRecord> LastAppend() const {
    return std::get<AppendClaims>(this->actions.back()).records;
  }
  int Runs() const {
    return static_cast<int>(
        std::ranges::count_if(this->actions, [](const ClaimAction& action) {
          return std::holds_alternative<RunDispatch>(action);
        }));
  }
  ResultCode LastRefusal() const {
    return std::get<RefuseDispatch>(this->actions.back()).code;
  }
};

// Guards against a key text that two processes read differently.
TEST_CASE("keys are read strictly and written back alike") {
  const auto key = ParseKey({"acme"}, {"fees"}, "1700000000123-a-b");
  REQUIRE(key.has_value());
  CHECK(key.value().token == "a-b");
  CHECK(FormatKey(key.value()) == "1700000000123-a-b");
  for (const char* text : {"", "-", "12-", "-x", "1x-y", "+1-x", "12 -x",
                           "1234567890123456-x", "12-a b"}) {
    INFO(text);
    const auto malformed = ParseKey({"acme"}, {"fees"}, text);
    REQUIRE_FALSE(malformed.has_value());
    CHECK(malformed.error().code == ResultCode::kKeyMalformed);
  }
  CHECK_FALSE(ParseKey({"a"}, {"f"}, "1-" + std::string(129, 'x')).has_value());
}

// Guards against two agents that both run a request (I6).
TEST_CASE("of two claims of one key the lower offset wins for good") {
  TestLog log;
  log.Append({Claim("d1", "a"), Claim("d2", "b")});
  CHECK(FateOf(log, "d1") == ClaimOutcome::kWon);
  CHECK(FateOf(log, "d2") == ClaimOutcome::kHeld);
  // The loser was told its outcome, so it must not win by the release.
  log.Append({Release("d1"), Claim("d2", "b")});
  CHECK_FALSE(log.Fold().keys.at(Key()).holder);
  log.Append({Claim("d3", "b")});
  CHECK(FateOf(log, "d3") == ClaimOutcome::kWon);
}

// Guards against a release that opens a key under another claim, and against
// a new incarnation that releases what an earlier one may have run.
TEST_CASE("a release counts only for the claim of its own incarnation") {
  TestLog log;
  log.Append({Claim("d1")});
  log.Append({Release("d1", "b")});
  log.Append({Release("d1", "a", Incarnation{2})});
  CHECK(FateOf(log, "d1") == ClaimOutcome::kWon);
  log.Append({Claim("d2", "b")});
  log.Append({Release("d1")});
  log.Append({Claim("d2", "b")});
  CHECK(FateOf(log, "d2") == ClaimOutcome::kHeld);
  log.Append({Claim("d3", "b"), Release("d1")});
  CHECK(FateOf(log, "d3") == ClaimOutcome::kWon);
}

// Guards against a release of a request that ran.
TEST_CASE("a release after the result changes nothing") {
  TestLog log;
  log.Append({Claim("d1"), ResultRecord{Key(), {"d1"}, 201, "ok"},
              Release("d1"), Claim("d2", "b")});
  CHECK(FateOf(log, "d2") == ClaimOutcome::kHasResult);
}

// Guards against a run after "not run" was told on the strength of a void,
// and against a void that hides a claim (I5).
TEST_CASE("void and claim race by offset, alike for agent and entry host") {
  const bool void_first = GENERATE(true, false);
  TestLog log;
  const VoidRecord record{Key(), {"d1"}};
  if (void_first) {
    log.Append({record});
    log.Append({Claim("d1")});
  } else {
    log.Append({Claim("d1")});
    log.Append({record});
  }
  VoidWatch watch = MakeVoidWatch(Key(), {"d1"}, 1);
  CHECK(GetOutcomeCode(watch) == ResultCode::kOutcomeUnknown);
  TestAgent agent;
  agent.Receive("d1");
  for (const ClaimsEntry& entry : log.entries) {
    watch = UpdateVoidWatch(std::move(watch), entry);
    agent.Read(entry);
  }
  CHECK(agent.Runs() == (void_first ? 0 : 1));
  CHECK(GetDispatchOutcome(watch) ==
        (void_first ? DispatchOutcome::kNotRun : DispatchOutcome::kUnknown));
}

// Guards against "not run" stated over entries that nobody read.
TEST_CASE("a gap before the void leaves the outcome unknown") {
  const ClaimsEntry entry{5, kStart, {VoidRecord{Key(), {"d1"}}}};
  CHECK(GetDispatchOutcome(
            UpdateVoidWatch(MakeVoidWatch(Key(), {"d1"}, 4), entry)) ==
        DispatchOutcome::kUnknown);
  CHECK(GetDispatchOutcome(UpdateVoidWatch(MakeVoidWatch(Key(), {"d1"}, 5),
                                           entry)) == DispatchOutcome::kNotRun);
}

// Guards against "not run" told for a retry while its first attempt may have
// run.
TEST_CASE("outcomes of attempts combine to what is certain of all") {
  using enum ResultCode;
  CHECK(CombineOutcomes(kOutcomeUnknown, kLogUnavailable) == kOutcomeUnknown);
  CHECK(CombineOutcomes(kOutcomeUnknown, kAnswered) == kAnswered);
  CHECK(CombineOutcomes(kDispatchVoided, kEndpointFull) == kEndpointFull);
  CHECK(CombineOutcomes(kEndpointFull, kOutcomeUnknown) == kOutcomeUnknown);
}

// Guards against a second run when a claim's append takes effect although its
// answer was lost, in time or after the dispatch was abandoned.
TEST_CASE("an append whose answer is lost runs once or is released") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  const auto batch = agent.LastAppend();
  agent.Appended(AppendOutcome::kLost);
  SECTION("the claim is read back in time") {
    agent.Read(log.Append(batch));
    CHECK(agent.Runs() == 1);
    agent.Read(log.Append(batch));
    CHECK(agent.Runs() == 1);
  }
  SECTION("the claim turns up after the dispatch was abandoned") {
    const TimePoint late = kNow + Seconds(2);
    agent.Advance(late);
    CHECK(agent.LastRefusal() == ResultCode::kLogUnavailable);
    agent.Read(log.Append(batch), late);
    CHECK(agent.Runs() == 0);
    agent.Advance(late);
    CHECK(agent.LastAppend() == std::vector<ClaimsRecord>{Release("d1")});
    // The release is appended again until the log shows it.
    agent.Appended(AppendOutcome::kLost, late);
    agent.Advance(late + kClaimRetryDelay);
    CHECK(agent.LastAppend() == std::vector<ClaimsRecord>{Release("d1")});
    agent.Read(log.Append(agent.LastAppend()));
    agent.Appended(AppendOutcome::kLost, late);
    const std::size_t before = agent.actions.size();
    agent.Advance(late + Seconds(1));
    CHECK(agent.actions.size() == before);
    CHECK_FALSE(log.Fold().keys.at(Key()).holder);
  }
}

// Guards against a paused agent that wakes with a won claim and runs it after
// its deadline.
TEST_CASE("an agent that wakes after start_by releases instead of running") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  const auto& entry = log.Append(agent.LastAppend());
  agent.Read(entry, kNow + Seconds(30));
  CHECK(agent.Runs() == 0);
  CHECK(agent.LastRefusal() == ResultCode::kDeadlineTooShort);
  agent.Appended(AppendOutcome::kAcknowledged, kNow + Seconds(30));
  agent.Advance(kNow + Seconds(30));
  CHECK(agent.LastAppend() == std::vector<ClaimsRecord>{Release("d1")});
}

// Guards against a refusal of a second copy that is read as the outcome of the
// first.
TEST_CASE("copies of a dispatch and stale incarnations never run") {
  TestAgent agent;
  agent.Receive("d1");
  const std::size_t before = agent.actions.size();
  agent.Receive("d1");
  CHECK(agent.actions.size() == before);
  CHECK(agent.agent.duplicates == 1);
  agent.Take(ReceiveDispatch(
      std::move(agent.agent),
      {{"d9"}, Key("x"), 7, Incarnation{9}, kNow + Seconds(1)}, kStart, kNow));
  CHECK(agent.LastRefusal() == ResultCode::kStaleIncarnation);
}

// Guards against a new incarnation that accepts work before it knows what
// earlier ones claimed, for example while the log is down.
TEST_CASE("a new incarnation refuses until the log is read") {
  TestLog log;
  log.Append({Claim("d1")});
  log.Append({ResultRecord{Key(), {"d1"}, 201, "ok"}});
  TestAgent agent;
  agent.agent = MakeClaimAgent({"a"}, kFirst, 3);
  agent.Receive("d2");
  CHECK(agent.LastRefusal() == ResultCode::kLogUnavailable);
  agent.Read(log.entries[0]);
  agent.agent = ObserveClaimLogEnd(std::move(agent.agent), 2);
  agent.Receive("d3");
  CHECK(agent.LastRefusal() == ResultCode::kLogUnavailable);
  agent.Read(log.entries[1]);
  agent.agent = ObserveClaimLogEnd(std::move(agent.agent), 2);
  agent.Receive("d4");
  CHECK(std::get<AnswerDispatch>(agent.actions.back()).result.body == "ok");
}

// Guards against a rerun of a request that an earlier incarnation may have
// run without leaving a result.
TEST_CASE("a claim without result makes the repeated key unknown") {
  TestLog log;
  TestAgent agent;
  agent.Read(log.Append({Claim("d1", "a", Incarnation{0})}));
  agent.Receive("d2");
  CHECK(agent.LastRefusal() == ResultCode::kKeyOutcomeUnknown);
  CHECK(agent.agent.queue.empty());
}

// Guards against one request that gets the answer of another.
TEST_CASE("the same key with another body is refused") {
  TestLog log;
  log.Append({Claim("d1"), ResultRecord{Key(), {"d1"}, 201, "ok"}});
  const KeyedDispatch other{{"d2"}, Key(), 8, kFirst, kNow};
  const RunDecision decision = DecideRun(log.Fold(), other, kStart);
  CHECK(decision.kind == RunDecision::Kind::kRefuse);
  CHECK(decision.code == ResultCode::kKeyConflict);
  log.Append({Claim("d2", "b", kFirst, 8)});
  CHECK(FateOf(log, "d2") == ClaimOutcome::kConflict);
}

// Guards against a key that runs again after its first claim was forgotten, by
// expiry or by the log's retention.
TEST_CASE("forgotten keys are refused, never run") {
  const auto decide = [](const ClaimFold& fold, WallTime issued, WallTime now) {
    return DecideRun(fold, {{"d2"}, Key("k", issued), 7, kFirst, kNow}, now);
  };
  SECTION("expiry by the log's time stamp") {
    ClaimFold fold = FoldClaim({}, {1, kStart, {Claim("d1")}}).fold;
    const WallTime end = kStart + kKeyMemory;
    const ClaimsEntry late{2, end + Milliseconds(1), {Claim("d2")}};
    const ClaimFoldStep step = FoldClaim(fold, late);
    CHECK(step.settled.at(0).outcome == ClaimOutcome::kExpired);
    CHECK(step.fold.keys.empty());
    CHECK(decide(fold, kStart, end).code == ResultCode::kKeyOutcomeUnknown);
    CHECK(decide(fold, kStart, end + Milliseconds(1)).code ==
          ResultCode::kKeyExpired);
    // A log whose clock steps back does not revive the key.
    CHECK(FoldClaim(step.fold, {3, kStart, {Claim("d3")}})
              .settled.at(0)
              .outcome == ClaimOutcome::kExpired);
  }
  SECTION("retention") {
    const WallTime oldest = kStart + Seconds(600);
    const ClaimFold fold = FoldClaim({}, {40, oldest, {}}).fold;
    CHECK(decide(fold, kStart, oldest).code == ResultCode::kKeyExpired);
    // A dropped claim may have had a key issued up to 60 s ahead of it.
    CHECK(decide(fold, oldest + Seconds(59), oldest).code ==
          ResultCode::kKeyExpired);
    CHECK(decide(fold, oldest + Seconds(60), oldest).kind ==
          RunDecision::Kind::kClaim);
  }
  SECTION("issued too far ahead") {
    CHECK(decide({}, kStart + Seconds(61), kStart).code ==
          ResultCode::kKeyInFuture);
    const ClaimsEntry early{1, kStart - Seconds(61), {Claim("d1")}};
    CHECK(FoldClaim({}, early).settled.at(0).outcome ==
          ClaimOutcome::kInFuture);
  }
}

// Guards against agents that together exceed what the log takes.
TEST_CASE("batches keep their interval and one append in flight") {
  CHECK(ClaimBatchInterval(3) == Milliseconds(15));
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.Take(ReceiveDispatch(
      std::move(agent.agent),
      {{"d2"}, Key("other"), 7, kFirst, kNow + Seconds(1)}, kStart, kNow));
  const std::size_t before = agent.actions.size();
  agent.Advance(kNow + Milliseconds(20));
  CHECK(agent.actions.size() == before);
  agent.Appended(AppendOutcome::kAcknowledged);
  agent.Advance(kNow + Milliseconds(14));
  CHECK(agent.actions.size() == before);
  CHECK(NextClaimWorkTime(agent.agent) == kNow + Milliseconds(15));
  agent.Advance(kNow + Milliseconds(15));
  CHECK(agent.LastAppend().size() == 1);
}

// Guards against a refused append that leaves its dispatch waiting.
TEST_CASE("a failed append refuses its dispatches as not run") {
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.Appended(AppendOutcome::kFailed);
  CHECK(agent.LastRefusal() == ResultCode::kLogUnavailable);
  CHECK(agent.agent.pending.empty());
}

// Guards against answers that differ from the one that was given.
TEST_CASE("results are kept up to 2 KiB and a refused run is released") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.Read(log.Append(agent.LastAppend()));
  agent.Appended(AppendOutcome::kAcknowledged);
  const auto end = GENERATE(RunEnd::kAnswered, RunEnd::kNotRun);
  agent.Take(RecordRunEnd(std::move(agent.agent), {"d1"}, end, 201,
                          std::string(kMaxResultBodyBytes + 1, 'x')));
  agent.Advance(kNow + Milliseconds(20));
  agent.Read(log.Append(agent.LastAppend()));
  agent.Receive("d2");
  if (end == RunEnd::kAnswered) {
    CHECK(agent.LastRefusal() == ResultCode::kAnswerTruncated);
  } else {
    agent.Appended(AppendOutcome::kAcknowledged);
    agent.Advance(kNow + Milliseconds(40));
    CHECK(std::holds_alternative<ClaimRecord>(agent.LastAppend().at(0)));
  }
}

// Guards against a repeat that gets "outcome unknown" because the result has
// not reached the log yet: right after the answer, or in an outage of the log.
TEST_CASE("a repeat is answered before the result stands in the log") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.Appended(AppendOutcome::kAcknowledged);
  agent.Read(log.Append(agent.LastAppend()));
  agent.Take(RecordRunEnd(std::move(agent.agent), {"d1"}, RunEnd::kAnswered,
                          201, "entered"));
  agent.Receive("d2");
  CHECK(std::get<AnswerDispatch>(agent.actions.back()).result.body ==
        "entered");
  // The append of the result fails, and the log stays down.
  agent.Advance(kNow + Seconds(1));
  agent.Appended(AppendOutcome::kFailed, kNow + Seconds(1));
  agent.Receive("d3", kNow + Seconds(5));
  CHECK(std::get<AnswerDispatch>(agent.actions.back()).dispatch ==
        DispatchId{"d3"});
  CHECK(agent.Runs() == 1);
}

}  // namespace
}  // namespace toucanhollow
