// ChooseEndpoint selects the endpoint for one attempt of a request.
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
  // Engine time to compute one prompt token.
  double prefill_ms_per_token = 0.1;
  int tokens_per_block = 16;
  // Used while an endpoint has not reported its mean service time.
  Duration default_service_time = Seconds(1);
  // Penalty of an endpoint at the very start of its ramp. It is below the score
  // tolerance so that an endpoint in slow start gets work in proportion to its
  // free slots: with 30 ms, endpoints half-way through the ramp got too little
  // work to leave it.
  double slow_start_penalty_ms = 1;
  // An endpoint whose step time is above this multiple of the median is a
  // straggler.
  double straggler_factor = 1.3;
  // Penalty of a suspected endpoint. A false suspicion only moves work to other
  // endpoints while they have free slots.
  double suspicion_penalty_ms = 500;
  // Time between two load reports of an endpoint.
  Duration report_interval = Seconds(1);
  // Scores that differ by no more than this count as equal.
  double score_tolerance_ms = 2;

  bool operator==(const RoutingParameters&) const = default;
};

// Properties of a request that routing uses. Empty for plain services.
struct RoutingRequest {
  int prompt_tokens = 0;
  int expected_output_tokens = 0;
  std::span<const PrefixMatch> matches;
  // Endpoints that refused or failed an earlier attempt.
  std::span<const EndpointName> excluded;
};

struct RoutingDecision {
  // Index into view.endpoints, or -1 with the code kNoEndpointAvailable or
  // kDataCentreOut (the only endpoints that accept work are in data centres
  // that are out of service).
  int endpoint = -1;
  ResultCode code = ResultCode::kNoEndpointAvailable;
  // False if no candidate probably has a free slot (see HasProbableSlot). The
  // request should then stay in the entry host's queue.
  bool has_free_slot = false;
  double score_ms = 0;
  double wait_ms = 0;

  bool operator==(const RoutingDecision&) const = default;
};

// Chooses the endpoint for one attempt. `draw` is a random number in [0, 1).
// Endpoints that probably have a free slot are preferred. Among those whose
// score is close to the best, one is drawn with weights that give all endpoints
// the same share of free slots by the next report.
RoutingDecision ChooseEndpoint(const RoutingView& view,
                               const RoutingParameters& parameters,
                               const RoutingRequest& request,
                               double draw,
                               TimePoint now);

}  // namespace toucanhollow

#endif  // ROUTING_CHOOSE_ENDPOINT_H_
