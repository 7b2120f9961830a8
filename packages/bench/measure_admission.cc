#include "admission/admission_state.h"
#include "admission/admit.h"
#include "admission/grants.h"
#include "admission/health.h"
#include "bench/measure.h"
#include "bench/measure_parts.h"

namespace toucanhollow {
namespace {

constexpr Incarnation kAgent{1};

AdmissionState MakeWarmState(int full_limit, TimePoint now) {
  AdmissionParameters parameters;
  parameters.full_limit = full_limit;
  parameters.reports_load = false;
  parameters.report_lag = Duration(0);
  AdmissionState state = MakeAdmissionState(parameters, kAgent, now);
  state.limit = full_limit;
  state.last_health_sample = now;
  return state;
}

AdmissionRequest MakeRequest(std::int64_t number) {
  AdmissionRequest request;
  request.dispatch = {"entry-1.17." + std::to_string(number) + ".1"};
  request.receiver = kAgent;
  request.sender = {"entry-1"};
  return request;
}

void MeasureAdmit(int running) {
  TimePoint now{Seconds(100)};
  AdmissionState state = MakeWarmState(running + 1, now);
  for (int i = 0; i < running; ++i) {
    state = Admit(std::move(state), MakeRequest(-1 - i), now).state;
  }
  const double us = MeasureCallUs([&](std::int64_t call) {
    now += Duration(200);
    const AdmissionRequest request = MakeRequest(call);
    state = Admit(std::move(state), request, now).state;
    CompletionSample sample;
    sample.dispatch = request.dispatch;
    sample.first_token = Milliseconds(100);
    sample.step = Milliseconds(20);
    state = RecordCompletion(std::move(state), sample, now);
  });
  ReportMeasurement("admit_and_complete_us", running, us, "us");
}

void MeasureGrants(int senders) {
  const TimePoint now{Seconds(100)};
  AdmissionState state = MakeWarmState(64, now);
  std::vector<GrantDemand> demand;
  demand.reserve(static_cast<std::size_t>(senders));
  for (int i = 0; i < senders; ++i) {
    demand.push_back({{"entry-" + std::to_string(i)}, i % 5});
  }
  const double us = MeasureCallUs([&](std::int64_t) {
    state = IssueGrants(std::move(state), demand, now).state;
  });
  ReportMeasurement("issue_grants_us", senders, us, "us");
}

}  // namespace

void MeasureAdmission() {
  for (const int running : {8, 16, 32, 64, 128}) {
    MeasureAdmit(running);
  }
  for (const int senders : {8, 16, 32, 64, 128}) {
    MeasureGrants(senders);
  }
}

}  // namespace toucanhollow
