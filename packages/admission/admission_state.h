// AdmissionState is what one endpoint agent knows about the capacity and load
// of its endpoint. It is held in memory only; a restarted agent starts cold.
#ifndef ADMISSION_ADMISSION_STATE_H_
#define ADMISSION_ADMISSION_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

#include "admission/admission_parameters.h"
#include "admission/health_baseline.h"
#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// Slots reserved for one entry host until the expiry.
struct OutstandingGrant {
  int count = 0;
  TimePoint expiry;

  bool operator==(const OutstandingGrant&) const = default;
};

struct WaitingDispatch {
  DispatchId dispatch;
  TimePoint deadline;

  bool operator==(const WaitingDispatch&) const = default;
};

struct LimitChange {
  TimePoint time;
  // The limit before the change.
  int previous = 0;

  bool operator==(const LimitChange&) const = default;
};

// Smallest number of this agent's requests in flight in the current and in the
// previous window. A window lasts one report lag.
struct InFlightMinimum {
  TimePoint window_start;
  int current = 0;
  int previous = 0;

  bool operator==(const InFlightMinimum&) const = default;
};

// Hashes of the dispatch identifiers seen, in two generations so that old ones
// expire in constant time. A hash collision causes one refusal as a duplicate;
// the refused dispatch has not run.
struct SeenDispatches {
  TimePoint generation_start;
  std::unordered_set<std::uint64_t> current;
  std::unordered_set<std::uint64_t> previous;

  bool operator==(const SeenDispatches&) const = default;
};

struct AdmissionState {
  AdmissionParameters parameters;
  // Incarnation of this agent. Dispatches addressed to another are refused.
  Incarnation incarnation;
  std::optional<Incarnation> engine_incarnation;

  // Maximum number of requests that hold a slot at the same time.
  int limit = 0;
  // Increases of the limit within the last ramp interval.
  std::vector<LimitChange> recent_growth;
  // Nothing is admitted before this time, one report lag after the agent's
  // start.
  TimePoint admit_after;
  std::optional<TimePoint> last_health_sample;
  HealthBaseline first_token;
  HealthBaseline step;
  double last_step_ms = 0;
  // Exponentially weighted mean time from start to completion.
  double mean_service_ms = 0;

  // Start times of the dispatches that hold a slot.
  std::map<DispatchId, TimePoint> in_flight;
  InFlightMinimum in_flight_minimum;
  // Requests that an earlier incarnation of this agent left in the engine. The
  // number is known from the first load report on.
  int orphaned_requests = 0;
  bool orphaned_requests_known = false;
  std::deque<WaitingDispatch> waiting;
  std::map<ProcessName, OutstandingGrant> grants;
  SeenDispatches seen;

  // Time at which the data centre was taken out of service; empty while it is
  // in service.
  std::optional<TimePoint> data_centre_out_since;
  bool endpoint_out = false;
  bool leaving = false;

  bool operator==(const AdmissionState&) const = default;
};

// Returns the state of a newly started agent, which is cold and admits nothing
// for one report lag.
AdmissionState MakeAdmissionState(const AdmissionParameters& parameters,
                                  Incarnation incarnation,
                                  TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_ADMISSION_STATE_H_
