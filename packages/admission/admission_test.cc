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

// An agent that is past its report lag over an idle engine, with `limit`.
AdmissionState ReadyState(int limit, AdmissionParameters parameters = {}) {
  AdmissionState state = MakeAdmissionState(parameters, kAgent, At(-1000));
  state =
      RecordEngineReport(std::move(state), {kEngine, 0, Duration(0)}, At(-500));
  state.limit = limit;
  state.last_health_sample = At(0);
  return state;
}

AdmissionRequest Dispatch(int id, std::string sender = "entry-1") {
  return {DispatchId{"d" + std::to_string(id)}, kAgent,
          ProcessName{std::move(sender)}, Seconds(10)};
}

// Offers dispatches [first, first + count) and returns how many run.
int OfferMany(AdmissionState& state, int first, int count, TimePoint now) {
  int run = 0;
  for (int id = first; id < first + count; ++id) {
    AdmissionDecision decision = Admit(std::move(state), Dispatch(id), now);
    state = std::move(decision.state);
    run += decision.verdict == AdmissionVerdict::kRun ? 1 : 0;
  }
  return run;
}

CompletionSample HealthySample(const DispatchId& dispatch) {
  return {dispatch, CompletionOutcome::kAnswered, Milliseconds(100), 0,
          Milliseconds(20)};
}

void Complete(AdmissionState& state,
              const CompletionSample& sample,
              TimePoint now) {
  state = RecordCompletion(std::move(state), sample, now);
}

// Learns a warm baseline of 100 ms to the first token and 20 ms a step.
AdmissionState WarmState(int limit) {
  AdmissionState state = ReadyState(limit);
  state.parameters.full_limit = limit;
  for (int i = 0; i < 20; ++i) {
    CHECK(OfferMany(state, 100000 + i, 1, At(0)) == 1);
    Complete(state, HealthySample(Dispatch(100000 + i).dispatch), At(0));
  }
  return state;
}

ResultCode CodeOf(AdmissionState state,
                  const AdmissionRequest& request,
                  TimePoint now) {
  return Admit(std::move(state), request, now).code;
}

// Guards against an overload of a fresh endpoint (I2) and against a ramp that
// more than doubles within any second.
TEST_CASE(
    "a fresh endpoint takes the cold limit and at most doubles a second") {
  AdmissionState state = ReadyState(2);
  std::vector<std::pair<TimePoint, int>> history;
  int next = 0;
  for (int ms = 0; ms <= 6000; ms += 50) {
    const TimePoint now = At(ms);
    next += 40;
    OfferMany(state, next, 40, now);
    REQUIRE(CountSlotsInUse(state) <= state.limit);
    history.emplace_back(now, state.limit);
    for (const auto& [time, limit] : history) {
      if (now - time < Seconds(1)) {
        REQUIRE(state.limit <= 2 * limit);
      }
    }
    const auto running = state.in_flight;
    for (const auto& [dispatch, start] : running) {
      Complete(state, HealthySample(dispatch), now);
    }
  }
  CHECK(history.front().second == 2);
  CHECK(state.limit == 32);
}

// Guards against a limit that stays up while the endpoint fails.
TEST_CASE("errors, refusals and unhealthy times halve the limit") {
  const CompletionOutcome outcome =
      GENERATE(CompletionOutcome::kError, CompletionOutcome::kEngineRefused,
               CompletionOutcome::kAnswered);
  const bool slow_step = GENERATE(true, false);
  AdmissionState state = WarmState(32);
  OfferMany(state, 0, 1, At(10));
  CompletionSample sample = HealthySample(Dispatch(0).dispatch);
  sample.outcome = outcome;
  (slow_step ? sample.step : sample.first_token) *= 4;
  Complete(state, sample, At(20));
  CHECK(state.limit == 16);
}

// Guards against a warm limit that outlives what is known about the endpoint.
TEST_CASE("unknown means cold") {
  AdmissionState state = WarmState(32);
  CHECK(SummarizeAdmission(state, At(30000)).limit == 32);
  CHECK(SummarizeAdmission(state, At(30001)).limit == 2);
  CHECK(OfferMany(state, 0, 40, At(30001)) == 2);
  state = WarmState(32);
  state =
      RecordEngineReport(std::move(state), {kEngine, 0, Duration(0)}, At(10));
  CHECK(state.limit == 32);
  state = RecordEngineReport(std::move(state), {Incarnation{4}, 0, Duration(0)},
                             At(20));
  CHECK(state.limit == 2);
  CHECK(MakeAdmissionState({}, kAgent, At(0)).limit == 2);
}

// Guards against a cold turn that shows first in the load report, before any
// request completes.
TEST_CASE("a slow step in a load report halves the limit") {
  AdmissionState state = WarmState(32);
  OfferMany(state, 0, 20, At(10));
  state = RecordEngineReport(std::move(state), {kEngine, 20, Milliseconds(61)},
                             At(20));
  CHECK(state.limit == 16);
  CHECK(state.in_flight.size() == 20);
  // Nothing runs that would exceed the new limit, and nothing is cut.
  CHECK(OfferMany(state, 50, 10, At(30)) == 0);
  for (int id = 0; id < 5; ++id) {
    CompletionSample cancelled = HealthySample(Dispatch(id).dispatch);
    cancelled.outcome = CompletionOutcome::kCancelled;
    Complete(state, cancelled, At(40));
  }
  CHECK(OfferMany(state, 70, 10, At(50)) == 1);
}

// Guards against an idle endpoint that gets no work for ever because its last
// steps were slow.
TEST_CASE("an idle engine reports no step time") {
  AdmissionState state = ReadyState(8);
  state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(90)},
                             At(20));
  CHECK(SummarizeAdmission(state, At(20)).step == Milliseconds(90));
  state =
      RecordEngineReport(std::move(state), {kEngine, 0, Duration(0)}, At(30));
  CHECK(SummarizeAdmission(state, At(30)).step == Duration(0));
}

// Guards against growth at a load that proves nothing.
TEST_CASE("samples at a low load do not grow the limit") {
  AdmissionState state = ReadyState(8);
  TimePoint now = At(0);
  for (int i = 0; i < 20; ++i) {
    OfferMany(state, i, 1, now);
    Complete(state, HealthySample(Dispatch(i).dispatch), now + Seconds(1));
    now += Seconds(2);
  }
  CHECK(state.limit == 8);
}

// Guards against two entry hosts that together send more than the limit.
TEST_CASE("grants and slots in use never exceed the limit when issued") {
  AdmissionState state = ReadyState(10);
  OfferMany(state, 0, 3, At(0));
  GrantDecision grants = IssueGrants(
      std::move(state),
      {{ProcessName{"a"}, 9}, {ProcessName{"b"}, 3}, {ProcessName{"c"}, 0}},
      At(0));
  state = std::move(grants.state);
  CHECK(CountGrantedSlots(state) == 3);
  CHECK(CountSlotsInUse(state) + CountGrantedSlots(state) <= state.limit);
  REQUIRE(grants.issued.size() == 3);
  CHECK(grants.issued[2].count == 0);
  // A granted slot is kept for its holder.
  CHECK(OfferMany(state, 10, 20, At(1)) == 4);
  AdmissionDecision granted = Admit(std::move(state), Dispatch(40, "a"), At(2));
  CHECK(granted.verdict == AdmissionVerdict::kRun);
  // An expired grant keeps nothing.
  CHECK(OfferMany(granted.state, 50, 20, At(3001)) == 2);
  CHECK(CountSlotsInUse(granted.state) == 10);
}

// Guards against a late dispatch on an expired grant that overloads the
// endpoint.
TEST_CASE("a dispatch on an expired grant costs one refusal") {
  AdmissionState state = ReadyState(2);
  state = IssueGrants(std::move(state), {{ProcessName{"a"}, 2}}, At(0)).state;
  CHECK(OfferMany(state, 0, 10, At(3500)) == 2);
  CHECK(CodeOf(state, Dispatch(20, "a"), At(3501)) ==
        ResultCode::kEndpointFull);
}

// Guards against new work after a record, a listing or SIGTERM (I3, I7), and
// against work meant for an earlier agent.
TEST_CASE("an arriving dispatch is checked again") {
  const AdmissionState state = ReadyState(8);
  CHECK(CodeOf(SetDataCentreOut(AdmissionState(state), true, At(0)),
               Dispatch(0), At(1)) == ResultCode::kDataCentreOut);
  CHECK(CodeOf(SetLeaving(AdmissionState(state), true), Dispatch(0), At(1)) ==
        ResultCode::kLeaving);
  CHECK(CodeOf(SetEndpointOut(AdmissionState(state), true), Dispatch(0),
               At(1)) == ResultCode::kNoEndpointAvailable);
  AdmissionRequest old = Dispatch(0);
  old.receiver = Incarnation{6};
  CHECK(CodeOf(state, old, At(1)) == ResultCode::kStaleIncarnation);
  AdmissionRequest late = Dispatch(0);
  late.remaining_deadline = Duration(0);
  CHECK(CodeOf(state, late, At(1)) == ResultCode::kDeadlineTooShort);
  AdmissionState seen = state;
  OfferMany(seen, 0, 1, At(1));
  Complete(seen, HealthySample(Dispatch(0).dispatch), At(2));
  CHECK(CodeOf(seen, Dispatch(0), At(299000)) ==
        ResultCode::kDuplicateDispatch);
}

// Guards against a data centre that returns warm after a long time, and
// against a needless ramp after a short one.
TEST_CASE("a data centre out for over 5 s returns cold") {
  const int out_ms = GENERATE(4999, 5000, 5001);
  AdmissionState state = ReadyState(16);
  state = SetDataCentreOut(std::move(state), true, At(0));
  state = SetDataCentreOut(std::move(state), true, At(4000));
  state = SetDataCentreOut(std::move(state), false, At(out_ms));
  CHECK(state.limit == (out_ms > 5000 ? 2 : 16));
}

// Guards against an agent that starts over a busy engine and fills it twice.
TEST_CASE("a new agent counts what the engine reports") {
  AdmissionState state = MakeAdmissionState({}, kAgent, At(0));
  CHECK(CodeOf(state, Dispatch(0), At(10)) == ResultCode::kNotReady);
  CHECK(CodeOf(state, Dispatch(0), At(1500)) == ResultCode::kNotReady);
  state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(20)},
                             At(500));
  CHECK(CodeOf(state, Dispatch(0), At(999)) == ResultCode::kNotReady);
  CHECK(OfferMany(state, 1, 5, At(1000)) == 1);
  // A report that does not yet show the own dispatch changes nothing.
  state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(20)},
                             At(1100));
  CHECK(CountSlotsInUse(state) == 2);
  // The foreign request has ended; the own one is reported.
  for (const int ms : {2200, 3300, 4400}) {
    state = RecordEngineReport(std::move(state), {kEngine, 1, Milliseconds(20)},
                               At(ms));
  }
  CHECK(CountSlotsInUse(state) == 1);
}

// Guards against dispatches that wait past their deadline, for ever, or on an
// endpoint that may not take them any more.
TEST_CASE("the agent's queue is short and within the deadline") {
  AdmissionState state = WarmState(8);
  state.mean_service_ms = 800;
  CHECK(OfferMany(state, 0, 12, At(0)) == 8);
  CHECK(state.waiting.size() == 4);
  CHECK(CodeOf(state, Dispatch(20), At(0)) == ResultCode::kEndpointFull);
  AdmissionState shorter = state;
  shorter.waiting.pop_back();
  AdmissionRequest hurried = Dispatch(21);
  hurried.remaining_deadline = Milliseconds(399);
  CHECK(CodeOf(shorter, hurried, At(0)) == ResultCode::kDeadlineTooShort);
  hurried.remaining_deadline = Milliseconds(400);
  const AdmissionDecision queued = Admit(std::move(shorter), hurried, At(0));
  CHECK(queued.verdict == AdmissionVerdict::kWait);
  Complete(state, HealthySample(Dispatch(0).dispatch), At(100));
  WaitingDecision started = StartOrRefuseWaiting(std::move(state), At(100));
  CHECK(started.started == std::vector{Dispatch(8).dispatch});
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
