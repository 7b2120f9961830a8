// RunFleet: callers, entry hosts, agents and endpoints of one service in one
// thread, with the deciding functions between them. It measures those
// functions on a stream of requests; it models no sockets, hosts or log.
#ifndef POLICY_BENCH_FLEET_H_
#define POLICY_BENCH_FLEET_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "admission/admission_parameters.h"
#include "base/result_code.h"
#include "base/time.h"
#include "overload/fair_queue.h"
#include "policy_bench/engine_model.h"
#include "routing/choose_endpoint.h"

namespace toucanhollow {

enum class RouterKind {
  kScored,
  kRoundRobin,
  kLeastOutstanding,
  kTwoChoices,
  // The least load by the last report, without any correction: the router
  // that herds.
  kLeastReported,
};

enum class EntryQueueKind {
  kFair,
  // In order of arrival, without refusals.
  kArrival,
};

struct RequestMix {
  double rate_per_s = 100;
  std::vector<double> account_shares = {1};
  Duration deadline = Seconds(8);
  // Prompts of an account start with one of its templates.
  int templates = 1;
  int shared_tokens = 0;
  int unique_tokens = 0;
  int min_output = 50;
  int max_output = 150;

  bool operator==(const RequestMix&) const = default;
};

struct DataCentreOutage {
  int data_centre = 0;
  Duration out_at{0};
  Duration back_at{0};
  // False: taken out by a record. True: all its endpoints die.
  bool abrupt = false;

  bool operator==(const DataCentreOutage&) const = default;
};

struct FleetConfig {
  std::uint64_t seed = 1;
  std::vector<int> endpoints = {6, 5, 5};  // in each data centre
  int entry_hosts = 6;
  Duration within_delay = Duration(200);
  Duration between_delay = Milliseconds(1);
  RouterKind router = RouterKind::kScored;
  EntryQueueKind queue = EntryQueueKind::kFair;
  EngineProfile engine;
  AdmissionParameters admission;
  RoutingParameters routing;
  FairQueueParameters fair_queue;
  RequestMix mix;
  Duration duration = Seconds(60);
  Duration heartbeat = Seconds(1);
  // All agents report at the same moment, which is the worst case of herding.
  bool aligned_heartbeats = false;
  // A record reaches each process within this time.
  Duration record_delay = Milliseconds(1000);
  std::optional<DataCentreOutage> outage;
  bool start_warm = true;
  // Baseline: agents admit up to the full limit whatever they observe.
  bool fixed_limit = false;
  // The first endpoint turns cold without warning.
  std::optional<Duration> cold_at;

  bool operator==(const FleetConfig&) const = default;
};

struct RequestResult {
  TimePoint arrival;
  int account = 0;
  ResultCode code = ResultCode::kOutcomeUnknown;
  bool ended = false;
  bool in_time = false;
  Duration first_token{0};
  Duration total{0};
  double cost = 0;

  bool operator==(const RequestResult&) const = default;
};

// State of the first endpoint, sampled every 100 ms.
struct EndpointSample {
  TimePoint time;
  int limit = 0;
  int running = 0;
  double bears = 0;

  bool operator==(const EndpointSample&) const = default;
};

struct FleetResult {
  std::vector<RequestResult> requests;
  std::vector<EndpointSample> samples;
  std::int64_t dispatches = 0;
  std::int64_t agent_refusals = 0;
  // Runs started in the data centre that is out: within and after 3 s.
  std::int64_t starts_within_bound = 0;
  std::int64_t starts_after_bound = 0;
  // Runs started on an endpoint above what it bore.
  std::int64_t starts_beyond = 0;
  std::int64_t engine_failures = 0;
  std::int64_t retries = 0;
  std::int64_t matched_tokens = 0;
  std::int64_t prompt_tokens = 0;
  // Mean over samples of the largest load over the mean load.
  double load_peak_to_mean = 0;

  bool operator==(const FleetResult&) const = default;
};

FleetResult RunFleet(const FleetConfig& config);

}  // namespace toucanhollow

#endif  // POLICY_BENCH_FLEET_H_
