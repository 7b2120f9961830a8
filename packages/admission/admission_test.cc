#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "admission/admit.h"
#include "admission/grants.h"
#include "admission/health.h"
#include "admission/limit.h"
#include "admission/service_state.h"

namespace toucanhollow {
namespace {

constexpr Incarnation kAgent{7};
constexpr Incarnation kEngine{3};

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

// State of an agent with this limit that is past its report lag and whose
// engine is idle.
AdmissionState MakeReadyState(int limit, AdmissionParameters parameters = {}) {
  AdmissionState state = MakeAdmissionState(parameters, kAgent, At(-1000));
  state =
      RecordEngineReport(std::move(state), {kEngine, 0, Duration(0)}, At(-500));
  state.limit = limit;
  state.last_health_sample = At(0);
  return state;
}

AdmissionRequest MakeRequest(int id, std::string sender = "entry-1") {
  return {DispatchId{"d" + std::to_string(id)}, kAgent,
          ProcessName{std::move(sender)}, Seconds(10)};
}

// Admits the dispatches [first, first + count) and returns how many of them
// run.
int AdmitMany(AdmissionState& state, int first, int count, TimePoint now) {
  int run = 0;
  for (int id = first; id < first + count; ++id) {
    AdmissionDecision decision = Admit(std::move(state), MakeRequest(id), now);
    state = std::move(decision.state);
    run += decision.verdict == AdmissionVerdict::kRun ? 1 : 0;
  }
  return run;
}

CompletionSample MakeHealthySample(const DispatchId& dispatch) {
  return {dispatch, CompletionOutcome::kAnswered, Milliseconds(100), 0,
          Milliseconds(20)};
}

void Complete(AdmissionState& state,
              const CompletionSample& sample,
              TimePoint now) {
  state = RecordCompletion(std::move(state), sample, now);
}

// State with a learned baseline of 100 ms to the first token and 20 ms per
// step.
AdmissionState MakeWarmState(int limit) {
  AdmissionState state = MakeReadyState(limit);
  state.parameters.full_limit = limit;
  for (int i = 0; i < 20; ++i) {
    CHECK(AdmitMany(state, 100000 + i, 1, At(0)) == 1);
    Complete(state, MakeHealthySample(MakeRequest(100000 + i).dispatch), At(0));
  }
  return state;
}

ResultCode GetAdmitCode(AdmissionState state,
                        const AdmissionRequest& request,
                        TimePoint now) {
  return Admit(std::move(state), request, now).code;
}

// Guards against an overload of a cold endpoint (invariant I2) and against a
// limit that more than doubles within a second.
TEST_CASE(
    "a new endpoint starts at the cold limit and at most doubles it per "
    "second") {
  AdmissionState state = MakeReadyState(2);
  std::vector<std::pair<TimePoint, int>> history;
  int next = 0;
  for (int ms = 0; ms <= 6000; ms += 50) {
    const TimePoint now = At(ms);
    next += 40;
    AdmitMany(state, next, 40, now);
    REQUIRE(CountSlotsInUse(state) <= state.limit);
    history.emplace_back(now, state.limit);
    for (const auto& [time, limit] : history) {
      if (now - time < Seconds(1)) {
        REQUIRE(state.limit <= 2 * limit);
      }
    }
    const auto running = state.in_flight;
    for (const auto& [dispatch, start] : running) {
      Complete(state, MakeHealthySample(dispatch), now);
    }
  }
  CHECK(history.front().second == 2);
  CHECK(state.limit == 32);
}

// Guards against a limit that stays high while the endpoint fails.
TEST_CASE("errors, engine refusals and unhealthy times halve the limit") {
  const CompletionOutcome outcome =
      GENERATE(CompletionOutcome::kError, CompletionOutcome::kEngineRefused,
               CompletionOutcome::kAnswered);
  const bool slow_step = GENERATE(true, false);
  AdmissionState state = MakeWarmState(32);
  AdmitMany(state, 0, 1, At(10));
  CompletionSample sample = MakeHealthySample(MakeRequest(0).dispatch);
  sample.outcome = outcome;
  (slow_step ? sample.step : sample.first_token) *= 4;
  Complete(state, sample, At(20));
  CHECK(state.limit == 16);
}

// Guards against a warm limit that stays although the last health sample has
// expired or the engine was restarted.
TEST_CASE("an endpoint without recent health samples has the cold limit") {
  AdmissionState state = MakeWarmState(32);
  CHECK(SummarizeAdmission(state, At(30000)).limit == 32);
  CHECK(SummarizeAdmission(state, At(30001)).limit == 2);
  CHECK(AdmitMany(state, 0, 40, At(30001)) == 2);
  state = MakeWarmState(32);
  state =
      RecordEngineReport(std::move(state), {kEngine, 0, Duration(0)}, At(10));
  CHECK(state.limit == 32);
  state = RecordEngineReport(std::move(state), {Incarnation{4}, 0, Duration(0)},
                             At(20));
  CHECK(state.limit == 2);
  CHECK(MakeAdmissionState({}, kAgent, At(0)).limit == 2);
}

// Guards against missing that an endpoint turns cold when the load report shows
// it before any request completes.
TEST_CASE("a slow step in a load report halves the limit") {
  AdmissionState state = MakeWarmState(32);
  AdmitMany(state, 0, 20, At(10));
  state = RecordEngineReport(std::move(state), {kEngine, 20, Milliseconds(61)},
                             At(20));
  CHECK(state.limit == 16);
  CHECK(state.in_flight.size() == 20);
  // No dispatch runs above the new limit, and none in flight is cut off.
  CHECK(AdmitMany(state, 50, 10, At(30)) == 0);
  for (int id = 0; id < 5; ++id) {
    CompletionSample cancelled = MakeHealthySample(MakeRequest(id).dispatch);
    cancelled.outcome = CompletionOutcome::kCancelled;
    Complete(state, cancelled, At(40));
  }
  CHECK(AdmitMany(state, 70, 10, At(50)) == 1);
}

// Guards against an idle endpoint that never gets work again because its last
// steps were slow.
TEST_CASE("an idle engine reports no step time") {
  AdmissionState state = MakeReadyState(8);
  state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(90)},
                             At(20));
  CHECK(SummarizeAdmission(state, At(20)).step == Milliseconds(90));
  state =
      RecordEngineReport(std::move(state), {kEngine, 0, Duration(0)}, At(30));
  CHECK(SummarizeAdmission(state, At(30)).step == Duration(0));
}

// Guards against growth on samples at a load too low to show that the endpoint
// can serve more.
TEST_CASE("samples at a low load do not grow the limit") {
  AdmissionState state = MakeReadyState(8);
  TimePoint now = At(0);
  for (int i = 0; i < 20; ++i) {
    AdmitMany(state, i, 1, now);
    Complete(state, MakeHealthySample(MakeRequest(i).dispatch),
             now + Seconds(1));
    now += Seconds(2);
  }
  CHECK(state.limit == 8);
}

// Guards against two entry hosts that together send more than the limit.
TEST_CASE("grants and slots in use never exceed the limit when issued") {
  AdmissionState state = MakeReadyState(10);
  AdmitMany(state, 0, 3, At(0));
  GrantDecision grants = IssueGrants(
      std::move(state),
      {{ProcessName{"a"}, 9}, {ProcessName{"b"}, 3}, {ProcessName{"c"}, 0}},
      At(0));
  state = std::move(grants.state);
  CHECK(CountGrantedSlots(state) == 3);
  CHECK(CountSlotsInUse(state) + CountGrantedSlots(state) <= state.limit);
  REQUIRE(grants.issued.size() == 3);
  CHECK(grants.issued[2].count == 0);
  // A granted slot is reserved for its holder.
  CHECK(AdmitMany(state, 10, 20, At(1)) == 4);
  AdmissionDecision granted =
      Admit(std::move(state), MakeRequest(40, "a"), At(2));
  CHECK(granted.verdict == AdmissionVerdict::kRun);
  // An expired grant reserves nothing.
  CHECK(AdmitMany(granted.state, 50, 20, At(3001)) == 2);
  CHECK(CountSlotsInUse(granted.state) == 10);
}

// Guards against a late dispatch on an expired grant that overloads the
// endpoint.
TEST_CASE("a dispatch on an expired grant costs one refusal") {
  AdmissionState state = MakeReadyState(2);
  state = IssueGrants(std::move(state), {{ProcessName{"a"}, 2}}, At(0)).state;
  CHECK(AdmitMany(state, 0, 10, At(3500)) == 2);
  CHECK(GetAdmitCode(state, MakeRequest(20, "a"), At(3501)) ==
        ResultCode::kEndpointFull);
}

// Guards against new work after a record, the host list or SIGTERM has taken
// the endpoint out of service (invariants I3 and I7), and against work
// addressed to an earlier agent.
TEST_CASE("an arriving dispatch is checked against the agent's state") {
  const AdmissionState state = MakeReadyState(8);
  CHECK(GetAdmitCode(SetDataCentreOut(AdmissionState(state), true, At(0)),
                     MakeRequest(0), At(1)) == ResultCode::kDataCentreOut);
  CHECK(GetAdmitCode(SetLeaving(AdmissionState(state), true), MakeRequest(0),
                     At(1)) == ResultCode::kLeaving);
  CHECK(GetAdmitCode(SetEndpointOut(AdmissionState(state), true),
                     MakeRequest(0),
                     At(1)) == ResultCode::kNoEndpointAvailable);
  AdmissionRequest old = MakeRequest(0);
  old.receiver = Incarnation{6};
  CHECK(GetAdmitCode(state, old, At(1)) == ResultCode::kStaleIncarnation);
  AdmissionRequest late = MakeRequest(0);
  late.remaining_deadline = Duration(0);
  CHECK(GetAdmitCode(state, late, At(1)) == ResultCode::kDeadlineTooShort);
  AdmissionState seen = state;
  AdmitMany(seen, 0, 1, At(1));
  Complete(seen, MakeHealthySample(MakeRequest(0).dispatch), At(2));
  CHECK(GetAdmitCode(seen, MakeRequest(0), At(299000)) ==
        ResultCode::kDuplicateDispatch);
}

// Guards against an endpoint that returns warm after a long outage of its data
// centre, and against a needless ramp after a short one.
TEST_CASE("an endpoint whose data centre was out for over 5 s returns cold") {
  const int out_ms = GENERATE(4999, 5000, 5001);
  AdmissionState state = MakeReadyState(16);
  state = SetDataCentreOut(std::move(state), true, At(0));
  state = SetDataCentreOut(std::move(state), true, At(4000));
  state = SetDataCentreOut(std::move(state), false, At(out_ms));
  CHECK(state.limit == (out_ms > 5000 ? 2 : 16));
}

// Guards against a restarted agent that ignores the requests already in its
// engine and overloads it.
TEST_CASE("a new agent counts the requests that the engine reports") {
  AdmissionState state = MakeAdmissionState({}, kAgent, At(0));
  CHECK(GetAdmitCode(state, MakeRequest(0), At(10)) == ResultCode::kNotReady);
  CHECK(GetAdmitCode(state, MakeRequest(0), At(1500)) == ResultCode::kNotReady);
  state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(20)},
                             At(500));
  CHECK(GetAdmitCode(state, MakeRequest(0), At(999)) == ResultCode::kNotReady);
  CHECK(AdmitMany(state, 1, 5, At(1000)) == 1);
  // A report that does not yet include the agent's dispatch changes nothing.
  state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(20)},
                             At(1100));
  CHECK(CountSlotsInUse(state) == 2);
  // The orphaned request has ended; the reported one is the agent's.
  for (const int ms : {2200, 3300, 4400}) {
    state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(20)},
                               At(ms));
  }
  CHECK(CountSlotsInUse(state) == 1);
}

// Guards against dispatches that wait past their deadline, for ever, or at an
// endpoint that no longer accepts work.
TEST_CASE("the agent's queue is bounded and respects deadlines") {
  AdmissionState state = MakeWarmState(8);
  state.mean_service_ms = 800;
  CHECK(AdmitMany(state, 0, 12, At(0)) == 8);
  CHECK(state.waiting.size() == 4);
  CHECK(GetAdmitCode(state, MakeRequest(20), At(0)) ==
        ResultCode::kEndpointFull);
  AdmissionState shorter = state;
  shorter.waiting.pop_back();
  AdmissionRequest urgent = MakeRequest(21);
  urgent.remaining_deadline = Milliseconds(399);
  CHECK(GetAdmitCode(shorter, urgent, At(0)) == ResultCode::kDeadlineTooShort);
  urgent.remaining_deadline = Milliseconds(400);
  const AdmissionDecision queued = Admit(std::move(shorter), urgent, At(0));
  CHECK(queued.verdict == AdmissionVerdict::kWait);
  Complete(state, MakeHealthySample(MakeRequest(0).dispatch), At(100));
  WaitingDecision started = StartOrRefuseWaiting(std::move(state), At(100));
  CHECK(started.started == std::vector{MakeRequest(8).dispatch});
  WaitingDecision late =
      StartOrRefuseWaiting(AdmissionState(started.state), At(10000));
  CHECK(late.refused.size() == 3);
  WaitingDecision leaving =
      StartOrRefuseWaiting(SetLeaving(std::move(started.state), true), At(200));
  REQUIRE(leaving.refused.size() == 3);
  CHECK(leaving.refused[0].code == ResultCode::kLeaving);
}

}  // namespace
}  // namespace toucanhollow
