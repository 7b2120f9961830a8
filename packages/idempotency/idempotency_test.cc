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

ScopedKey MakeKey(const std::string& token = "k", WallTime issued = kStart) {
  return {issued, {"acme"}, {"fees"}, token};
}

ClaimRecord MakeClaim(const std::string& dispatch,
                      const std::string& agent = "a",
                      Incarnation incarnation = kFirst,
                      std::uint64_t digest = 7) {
  return {MakeKey(), digest, {dispatch}, {agent}, incarnation};
}

ReleaseRecord MakeRelease(const std::string& dispatch,
                          const std::string& agent = "a",
                          Incarnation incarnation = kFirst) {
  return {MakeKey(), {dispatch}, {agent}, incarnation};
}

// An in-memory log: each appended entry gets the next offset and a time stamp
// 1 ms after the one before it.
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

ClaimOutcome GetClaimOutcome(const TestLog& log, const std::string& dispatch) {
  return log.Fold().keys.at(MakeKey()).outcomes.at({dispatch});
}

// An agent that has replayed an empty log, with the actions that it returned.
struct TestAgent {
  ClaimAgent agent = ObserveClaimLogEnd(MakeClaimAgent({"a"}, kFirst, 3), 0);
  std::vector<ClaimAction> actions;

  void ApplyStep(ClaimStep step) {
    this->agent = std::move(step.agent);
    this->actions.insert(this->actions.end(), step.actions.begin(),
                         step.actions.end());
  }
  void Receive(const std::string& id, TimePoint start_by = kNow + Seconds(1)) {
    this->ApplyStep(ReceiveDispatch(std::move(this->agent),
                                    {{id}, MakeKey(), 7, kFirst, start_by},
                                    kStart, kNow));
  }
  void Advance(TimePoint now = kNow) {
    this->ApplyStep(AdvanceClaims(std::move(this->agent), now));
  }
  void Read(const ClaimsEntry& entry, TimePoint now = kNow) {
    this->ApplyStep(ReadClaims(std::move(this->agent), entry, now));
  }
  void RecordAppendOutcome(AppendOutcome outcome, TimePoint now = kNow) {
    this->ApplyStep(RecordAppend(std::move(this->agent), outcome, now));
  }
  std::vector<ClaimsRecord> GetLastAppend() const {
    return std::get<AppendClaims>(this->actions.back()).records;
  }
  int CountRuns() const {
    return static_cast<int>(
        std::ranges::count_if(this->actions, [](const ClaimAction& action) {
          return std::holds_alternative<RunDispatch>(action);
        }));
  }
  ResultCode GetLastRefusal() const {
    return std::get<RefuseDispatch>(this->actions.back()).code;
  }
};

// Guards against a key text that two processes parse differently.
TEST_CASE("ParseKey rejects malformed keys and FormatKey is its inverse") {
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

// Guards against two agents that both run a request (invariant I6).
TEST_CASE(
    "the claim with the lowest offset wins and a loser never wins later") {
  TestLog log;
  log.Append({MakeClaim("d1", "a"), MakeClaim("d2", "b")});
  CHECK(GetClaimOutcome(log, "d1") == ClaimOutcome::kWon);
  CHECK(GetClaimOutcome(log, "d2") == ClaimOutcome::kHeld);
  // The sender of the losing dispatch knows that it lost, so the release must
  // not let it win.
  log.Append({MakeRelease("d1"), MakeClaim("d2", "b")});
  CHECK_FALSE(log.Fold().keys.at(MakeKey()).holder);
  log.Append({MakeClaim("d3", "b")});
  CHECK(GetClaimOutcome(log, "d3") == ClaimOutcome::kWon);
}

// Guards against a release that frees a key while another claim holds it, and
// against a new incarnation that releases a claim that an earlier one may have
// run.
TEST_CASE(
    "a release applies only to a claim of the same agent and incarnation") {
  TestLog log;
  log.Append({MakeClaim("d1")});
  log.Append({MakeRelease("d1", "b")});
  log.Append({MakeRelease("d1", "a", Incarnation{2})});
  CHECK(GetClaimOutcome(log, "d1") == ClaimOutcome::kWon);
  log.Append({MakeClaim("d2", "b")});
  log.Append({MakeRelease("d1")});
  log.Append({MakeClaim("d2", "b")});
  CHECK(GetClaimOutcome(log, "d2") == ClaimOutcome::kHeld);
  log.Append({MakeClaim("d3", "b"), MakeRelease("d1")});
  CHECK(GetClaimOutcome(log, "d3") == ClaimOutcome::kWon);
}

// Guards against a release that frees the key of a request that ran.
TEST_CASE("a release after the result changes nothing") {
  TestLog log;
  log.Append({MakeClaim("d1"), ResultRecord{MakeKey(), {"d1"}, 201, "ok"},
              MakeRelease("d1"), MakeClaim("d2", "b")});
  CHECK(GetClaimOutcome(log, "d2") == ClaimOutcome::kHasResult);
}

// Guards against a run after the entry host reported "not run" because of a
// void, and against a void that hides an earlier claim (invariant I5).
TEST_CASE("agent and entry host both decide between void and claim by offset") {
  const bool void_first = GENERATE(true, false);
  TestLog log;
  const VoidRecord record{MakeKey(), {"d1"}};
  if (void_first) {
    log.Append({record});
    log.Append({MakeClaim("d1")});
  } else {
    log.Append({MakeClaim("d1")});
    log.Append({record});
  }
  VoidWatch watch = MakeVoidWatch(MakeKey(), {"d1"}, 1);
  CHECK(GetOutcomeCode(watch) == ResultCode::kOutcomeUnknown);
  TestAgent agent;
  agent.Receive("d1");
  for (const ClaimsEntry& entry : log.entries) {
    watch = UpdateVoidWatch(std::move(watch), entry);
    agent.Read(entry);
  }
  CHECK(agent.CountRuns() == (void_first ? 0 : 1));
  CHECK(GetDispatchOutcome(watch) ==
        (void_first ? DispatchOutcome::kNotRun : DispatchOutcome::kUnknown));
}

// Guards against "not run" reported although entries before the void were not
// read.
TEST_CASE("a gap before the void leaves the outcome unknown") {
  const ClaimsEntry entry{5, kStart, {VoidRecord{MakeKey(), {"d1"}}}};
  CHECK(GetDispatchOutcome(
            UpdateVoidWatch(MakeVoidWatch(MakeKey(), {"d1"}, 4), entry)) ==
        DispatchOutcome::kUnknown);
  CHECK(GetDispatchOutcome(UpdateVoidWatch(MakeVoidWatch(MakeKey(), {"d1"}, 5),
                                           entry)) == DispatchOutcome::kNotRun);
}

// Guards against "not run" reported for a retry although its first attempt may
// have run.
TEST_CASE("combined outcomes report only what is certain for all attempts") {
  using enum ResultCode;
  CHECK(CombineOutcomes(kOutcomeUnknown, kLogUnavailable) == kOutcomeUnknown);
  CHECK(CombineOutcomes(kOutcomeUnknown, kAnswered) == kAnswered);
  CHECK(CombineOutcomes(kDispatchVoided, kEndpointFull) == kEndpointFull);
  CHECK(CombineOutcomes(kEndpointFull, kOutcomeUnknown) == kOutcomeUnknown);
}

// Guards against a second run, or a run that is reported as not run, when a
// claim's append takes effect although its answer was lost: in time, or after
// the dispatch was abandoned.
TEST_CASE("a claim whose append answer is lost runs once or is released") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  const auto batch = agent.GetLastAppend();
  agent.RecordAppendOutcome(AppendOutcome::kLost);
  SECTION("the claim is read back in time") {
    agent.Read(log.Append(batch));
    CHECK(agent.CountRuns() == 1);
    agent.Read(log.Append(batch));
    CHECK(agent.CountRuns() == 1);
  }
  SECTION("the claim appears after the dispatch was abandoned") {
    const TimePoint late = kNow + Seconds(2);
    agent.Advance(late);
    CHECK(agent.GetLastRefusal() == ResultCode::kLogUnavailable);
    agent.Read(log.Append(batch), late);
    CHECK(agent.CountRuns() == 0);
    agent.Advance(late);
    CHECK(agent.GetLastAppend() ==
          std::vector<ClaimsRecord>{MakeRelease("d1")});
    // The release is appended again until the log shows it.
    agent.RecordAppendOutcome(AppendOutcome::kLost, late);
    agent.Advance(late + kClaimRetryDelay);
    CHECK(agent.GetLastAppend() ==
          std::vector<ClaimsRecord>{MakeRelease("d1")});
    agent.Read(log.Append(agent.GetLastAppend()));
    agent.RecordAppendOutcome(AppendOutcome::kLost, late);
    const std::size_t before = agent.actions.size();
    agent.Advance(late + Seconds(1));
    CHECK(agent.actions.size() == before);
    CHECK_FALSE(log.Fold().keys.at(MakeKey()).holder);
  }
}

// Guards against a paused agent that resumes with a won claim and runs it after
// its deadline.
TEST_CASE("an agent that resumes after start_by releases its claim") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  const auto& entry = log.Append(agent.GetLastAppend());
  agent.Read(entry, kNow + Seconds(30));
  CHECK(agent.CountRuns() == 0);
  CHECK(agent.GetLastRefusal() == ResultCode::kDeadlineTooShort);
  agent.RecordAppendOutcome(AppendOutcome::kAcknowledged, kNow + Seconds(30));
  agent.Advance(kNow + Seconds(30));
  CHECK(agent.GetLastAppend() == std::vector<ClaimsRecord>{MakeRelease("d1")});
}

// Guards against a refusal of a second copy that is taken for the outcome of
// the first.
TEST_CASE("second copies and dispatches to stale incarnations never run") {
  TestAgent agent;
  agent.Receive("d1");
  const std::size_t before = agent.actions.size();
  agent.Receive("d1");
  CHECK(agent.actions.size() == before);
  CHECK(agent.agent.duplicates == 1);
  agent.ApplyStep(ReceiveDispatch(
      std::move(agent.agent),
      {{"d9"}, MakeKey("x"), 7, Incarnation{9}, kNow + Seconds(1)}, kStart,
      kNow));
  CHECK(agent.GetLastRefusal() == ResultCode::kStaleIncarnation);
}

// Guards against a new incarnation that accepts work before it has read what
// earlier ones claimed, for example while the log is down.
TEST_CASE("a new incarnation refuses dispatches until it has read the log") {
  TestLog log;
  log.Append({MakeClaim("d1")});
  log.Append({ResultRecord{MakeKey(), {"d1"}, 201, "ok"}});
  TestAgent agent;
  agent.agent = MakeClaimAgent({"a"}, kFirst, 3);
  agent.Receive("d2");
  CHECK(agent.GetLastRefusal() == ResultCode::kLogUnavailable);
  agent.Read(log.entries[0]);
  agent.agent = ObserveClaimLogEnd(std::move(agent.agent), 2);
  agent.Receive("d3");
  CHECK(agent.GetLastRefusal() == ResultCode::kLogUnavailable);
  agent.Read(log.entries[1]);
  agent.agent = ObserveClaimLogEnd(std::move(agent.agent), 2);
  agent.Receive("d4");
  CHECK(std::get<AnswerDispatch>(agent.actions.back()).result.body == "ok");
}

// Guards against a second run of a request that an earlier incarnation may have
// run without recording a result.
TEST_CASE("a key claimed earlier without a result has an unknown outcome") {
  TestLog log;
  TestAgent agent;
  agent.Read(log.Append({MakeClaim("d1", "a", Incarnation{0})}));
  agent.Receive("d2");
  CHECK(agent.GetLastRefusal() == ResultCode::kKeyOutcomeUnknown);
  CHECK(agent.agent.queue.empty());
}

// Guards against one request that gets the answer of another.
TEST_CASE("the same key with another body is refused") {
  TestLog log;
  log.Append({MakeClaim("d1"), ResultRecord{MakeKey(), {"d1"}, 201, "ok"}});
  const KeyedDispatch other{{"d2"}, MakeKey(), 8, kFirst, kNow};
  const RunDecision decision = DecideRun(log.Fold(), other, kStart);
  CHECK(decision.kind == RunDecision::Kind::kRefuse);
  CHECK(decision.code == ResultCode::kKeyConflict);
  log.Append({MakeClaim("d2", "b", kFirst, 8)});
  CHECK(GetClaimOutcome(log, "d2") == ClaimOutcome::kConflict);
}

// Guards against a key that runs again after its first claim was dropped, by
// expiry or by the log's retention.
TEST_CASE("keys whose claims may have been dropped are refused") {
  const auto decide = [](const ClaimFold& fold, WallTime issued, WallTime now) {
    return DecideRun(fold, {{"d2"}, MakeKey("k", issued), 7, kFirst, kNow},
                     now);
  };
  SECTION("expiry by the log's time stamp") {
    ClaimFold fold = FoldClaim({}, {1, kStart, {MakeClaim("d1")}}).fold;
    const WallTime end = kStart + kKeyMemory;
    const ClaimsEntry late{2, end + Milliseconds(1), {MakeClaim("d2")}};
    const ClaimFoldStep step = FoldClaim(fold, late);
    CHECK(step.settled.at(0).outcome == ClaimOutcome::kExpired);
    CHECK(step.fold.keys.empty());
    CHECK(decide(fold, kStart, end).code == ResultCode::kKeyOutcomeUnknown);
    CHECK(decide(fold, kStart, end + Milliseconds(1)).code ==
          ResultCode::kKeyExpired);
    // A time stamp that steps back does not make the key acceptable again.
    CHECK(FoldClaim(step.fold, {3, kStart, {MakeClaim("d3")}})
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
    const ClaimsEntry early{1, kStart - Seconds(61), {MakeClaim("d1")}};
    CHECK(FoldClaim({}, early).settled.at(0).outcome ==
          ClaimOutcome::kInFuture);
  }
}

// Guards against agents that together exceed the append rate of the log.
TEST_CASE("batches keep their interval with at most one append in progress") {
  CHECK(ClaimBatchInterval(3) == Milliseconds(15));
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.ApplyStep(ReceiveDispatch(
      std::move(agent.agent),
      {{"d2"}, MakeKey("other"), 7, kFirst, kNow + Seconds(1)}, kStart, kNow));
  const std::size_t before = agent.actions.size();
  agent.Advance(kNow + Milliseconds(20));
  CHECK(agent.actions.size() == before);
  agent.RecordAppendOutcome(AppendOutcome::kAcknowledged);
  agent.Advance(kNow + Milliseconds(14));
  CHECK(agent.actions.size() == before);
  CHECK(NextClaimWorkTime(agent.agent) == kNow + Milliseconds(15));
  agent.Advance(kNow + Milliseconds(15));
  CHECK(agent.GetLastAppend().size() == 1);
}

// Guards against a failed append that leaves its dispatches waiting.
TEST_CASE("a failed append refuses its dispatches as not run") {
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.RecordAppendOutcome(AppendOutcome::kFailed);
  CHECK(agent.GetLastRefusal() == ResultCode::kLogUnavailable);
  CHECK(agent.agent.pending.empty());
}

// Guards against a stored answer that differs from the one that was given, and
// against a key that stays held by a run that was refused.
TEST_CASE("results are stored up to 2 KiB and a refused run is released") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.Read(log.Append(agent.GetLastAppend()));
  agent.RecordAppendOutcome(AppendOutcome::kAcknowledged);
  const auto end = GENERATE(RunEnd::kAnswered, RunEnd::kNotRun);
  agent.ApplyStep(RecordRunEnd(std::move(agent.agent), {"d1"}, end, 201,
                               std::string(kMaxResultBodyBytes + 1, 'x')));
  agent.Advance(kNow + Milliseconds(20));
  agent.Read(log.Append(agent.GetLastAppend()));
  agent.Receive("d2");
  if (end == RunEnd::kAnswered) {
    CHECK(agent.GetLastRefusal() == ResultCode::kAnswerTruncated);
  } else {
    agent.RecordAppendOutcome(AppendOutcome::kAcknowledged);
    agent.Advance(kNow + Milliseconds(40));
    CHECK(std::holds_alternative<ClaimRecord>(agent.GetLastAppend().at(0)));
  }
}

// Guards against a retry that gets "outcome unknown" because the result has not
// reached the log yet: right after the answer, or during an outage of the log.
TEST_CASE("a retry is answered before the result is in the log") {
  TestLog log;
  TestAgent agent;
  agent.Receive("d1");
  agent.Advance();
  agent.RecordAppendOutcome(AppendOutcome::kAcknowledged);
  agent.Read(log.Append(agent.GetLastAppend()));
  agent.ApplyStep(RecordRunEnd(std::move(agent.agent), {"d1"},
                               RunEnd::kAnswered, 201, "entered"));
  agent.Receive("d2");
  CHECK(std::get<AnswerDispatch>(agent.actions.back()).result.body ==
        "entered");
  // The append of the result fails, and the log stays down.
  agent.Advance(kNow + Seconds(1));
  agent.RecordAppendOutcome(AppendOutcome::kFailed, kNow + Seconds(1));
  agent.Receive("d3", kNow + Seconds(5));
  CHECK(std::get<AnswerDispatch>(agent.actions.back()).dispatch ==
        DispatchId{"d3"});
  CHECK(agent.CountRuns() == 1);
}

}  // namespace
}  // namespace toucanhollow
