// ChooseEndpoint: the endpoint for one attempt of a request.
#ifndef ROUTING_CHOOSE_ENDPOINT_H_
#define ROUTING_CHOOSE_ENDPOINT_H_

#include <span>

#include "base/name.h"
#include "base/result_code.h"
#include "base/time.h"
#include "routing/prefix_index.h"
#include "routing/routing_view.h"

namespace toucanhollow {

struct RoutingParameters {
  // Time of an engine to compute one prompt token.
  double prefill_ms_per_token = 0.1;
  int tokens_per_block = 16;
  // Used while an endpoint has not reported its mean service time.
  Duration default_service_time = Seconds(1);
  // Penalty of an endpoint at the very start of its ramp. Below the spread, so
  // that an endpoint in slow start gets work in proportion to its free slots:
  // with 30 ms, endpoints half-way through the ramp stayed there.
  double slow_start_penalty_ms = 1;
  // An endpoint is a straggler above this multiple of the median step time.
  double straggler_factor = 1.3;
  // A false suspicion moves work to the others while they have free slots.
  double suspicion_penalty_ms = 500;
  // Time between two load reports of an endpoint.
  Duration report_interval = Seconds(1);
  // Scores closer than this are alike.
  double score_tolerance_ms = 2;

  bool operator==(const RoutingParameters&) const = default;
};

// What routing needs to know of a request. Empty for plain services.
struct RoutingRequest {
  int prompt_tokens = 0;
  int expected_output_tokens = 0;
  std::span<const PrefixMatch> matches;
  // Endpoints that refused or failed an earlier attempt.
  std::span<const EndpointName> excluded;
};

struct RoutingDecision {
  // Index in the view, or -1 with the code kNoEndpointAvailable or
  // kDataCentreOut (all eligible endpoints are in data centres that are out).
  int endpoint = -1;
  ResultCode code = ResultCode::kNoEndpointAvailable;
  // False if a slot is expected at no candidate (see HasProbableSlot); the
  // request should then stay in the entry host's queue.
  bool has_free_slot = false;
  double score_ms = 0;
  double wait_ms = 0;

  bool operator==(const RoutingDecision&) const = default;
};

// `draw` is a random number in [0, 1). Endpoints with a free slot go first;
// among those whose score is near the best, one is drawn so that all are filled
// alike by the next report.
RoutingDecision ChooseEndpoint(const RoutingView& view,
                               const RoutingParameters& parameters,
                               const RoutingRequest& request,
                               double draw,
                               TimePoint now);

}  // namespace toucanhollow

#endif  // ROUTING_CHOOSE_ENDPOINT_H_
