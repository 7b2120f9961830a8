#include "routing/choose_endpoint.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace toucanhollow {
namespace {

// A candidate whose score is this many tolerances behind the best is never
// drawn.
constexpr double kMaxToleranceMultiples = 8;

struct Candidate {
  int index = 0;
  double limit = 1;
  double free_slots = 0;
  int own_in_flight = 0;
  // Expected requests of all senders that start in one report interval.
  double arrivals = 0;
  bool has_probable_slot = false;
  double wait_ms = 0;
  double score_ms = 0;
  // Uncertainty of wait_ms that comes from the age of the report.
  double uncertainty_ms = 0;
};

// Expected excess of an uncertain load over the limit, in slots (a softplus):
// close to zero well below the limit, linear above it. `width` is the
// uncertainty of the load in slots.
double SmoothExcess(double excess, double width) {
  const double scaled = excess / width;
  return scaled > 30 ? excess : width * std::log1p(std::exp(scaled));
}

double MedianStepMs(const RoutingView& view) {
  std::vector<double> steps;
  for (const EndpointView& endpoint : view.endpoints) {
    if (endpoint.report.step > Duration(0) && IsEligible(view, endpoint)) {
      steps.push_back(ToMilliseconds(endpoint.report.step));
    }
  }
  if (steps.empty()) {
    return 0;
  }
  const auto middle = steps.begin() + std::ssize(steps) / 2;
  std::ranges::nth_element(steps, middle);
  return *middle;
}

double CountMatchedTokens(const RoutingParameters& parameters,
                          const RoutingRequest& request,
                          const EndpointName& name) {
  const auto match =
      std::ranges::find(request.matches, name, &PrefixMatch::endpoint);
  return match == request.matches.end()
             ? 0
             : std::min<double>(match->blocks * parameters.tokens_per_block,
                                request.prompt_tokens);
}

double RoundTripMs(const RoutingView& view, const EndpointView& endpoint) {
  const auto found = view.data_centres.find(endpoint.data_centre);
  return found == view.data_centres.end()
             ? 0
             : 2 * ToMilliseconds(found->second.one_way_delay);
}

Candidate ScoreEndpoint(const RoutingView& view,
                        const RoutingParameters& parameters,
                        const RoutingRequest& request,
                        int index,
                        double median_step_ms,
                        TimePoint now) {
  const EndpointView& endpoint = view.endpoints[index];
  const LoadReport& report = endpoint.report;
  Candidate candidate;
  candidate.index = index;
  candidate.free_slots = EstimateFreeSlots(endpoint, now);
  candidate.has_probable_slot = HasProbableSlot(endpoint, now);

  const double service_ms =
      report.mean_service > Duration(0)
          ? ToMilliseconds(report.mean_service)
          : ToMilliseconds(parameters.default_service_time);
  const double limit = std::max(1, report.limit);
  const double load = limit - candidate.free_slots;
  const double width = 0.5 + LoadUncertainty(endpoint, now);
  const double per_slot_ms = service_ms / limit;
  const double excess = load + 1 - limit;
  candidate.limit = limit;
  candidate.own_in_flight = endpoint.own_in_flight;
  candidate.arrivals =
      load * ToMilliseconds(parameters.report_interval) / service_ms;
  candidate.wait_ms = per_slot_ms * SmoothExcess(excess, width);
  candidate.uncertainty_ms =
      per_slot_ms * SmoothExcess(excess + width, width) - candidate.wait_ms;

  const double uncached =
      std::max(0.0, request.prompt_tokens -
                        CountMatchedTokens(parameters, request, endpoint.name));
  const double full_limit = std::max(report.full_limit, report.limit);
  const double excess_step_ms =
      std::max(0.0, ToMilliseconds(report.step) -
                        parameters.straggler_factor * median_step_ms);
  candidate.score_ms =
      candidate.wait_ms + uncached * parameters.prefill_ms_per_token +
      RoundTripMs(view, endpoint) +
      parameters.slow_start_penalty_ms *
          (1 - limit / std::max(1.0, full_limit)) +
      excess_step_ms * request.expected_output_tokens +
      (endpoint.suspected ? parameters.suspicion_penalty_ms : 0);
  return candidate;
}

// Weight of a candidate in the draw. All entry hosts see the same reports, so
// weighting by free slots alone would send the requests of all hosts to the
// least loaded endpoint for a whole report interval. This weight gives all
// endpoints the same share of free slots at the end of the interval.
double FillWeight(const Candidate& candidate,
                  double mean_free_share,
                  double mean_arrival_share) {
  constexpr double kMinShare = 0.01;
  const double share = candidate.free_slots / candidate.limit;
  return candidate.limit *
         std::max(kMinShare, mean_arrival_share + share - mean_free_share);
}

// Gap between the scores of a candidate and the best one, in multiples of the
// tolerance within which scores count as equal. A difference in waiting time is
// as uncertain as the load reports and widens the tolerance. A difference in
// prefill or network time is known exactly and widens it less, so that a prefix
// match is not lost to an uncertain wait.
double ScoreGapInTolerances(const Candidate& candidate,
                            const Candidate& best,
                            const RoutingParameters& parameters) {
  // Share of the uncertainty that always counts. With a larger one, uncertain
  // waits override prefix matches; see round 3 in docs/measurements.md.
  constexpr double kMinUncertaintyShare = 0.25;
  const double score_gap_ms = candidate.score_ms - best.score_ms;
  const double wait_ms = std::abs(candidate.wait_ms - best.wait_ms);
  const double known_ms =
      std::abs(score_gap_ms - (candidate.wait_ms - best.wait_ms));
  const double wait_share =
      wait_ms + known_ms > 0 ? wait_ms / (wait_ms + known_ms) : 0;
  const double uncertainty_ms =
      std::max(candidate.uncertainty_ms, best.uncertainty_ms);
  const double tolerance_ms =
      parameters.score_tolerance_ms +
      uncertainty_ms *
          (kMinUncertaintyShare + (1 - kMinUncertaintyShare) * wait_share);
  return std::max(0.0, score_gap_ms - tolerance_ms) / tolerance_ms;
}

// Derives a second number in [0, 1) from the low bits of the draw.
double SecondDraw(double draw) {
  constexpr double kShift = 1 << 20;
  const double shifted = draw * kShift;
  return shifted - std::floor(shifted);
}

// Draws two candidates, weighted by FillWeight and by how close their scores
// are to the best, and returns the one with fewer dispatches of this host in
// flight relative to its limit.
const Candidate& DrawCandidate(const std::vector<Candidate>& candidates,
                               const RoutingParameters& parameters,
                               double draw) {
  const Candidate& best =
      *std::ranges::min_element(candidates, {}, &Candidate::score_ms);
  double limits = 0;
  double free_slots = 0;
  double arrivals = 0;
  for (const Candidate& candidate : candidates) {
    limits += candidate.limit;
    free_slots += candidate.free_slots;
    arrivals += candidate.arrivals;
  }
  std::vector<double> weights;
  weights.reserve(candidates.size());
  double sum = 0;
  for (const Candidate& candidate : candidates) {
    const double score_gap = ScoreGapInTolerances(candidate, best, parameters);
    if (score_gap < kMaxToleranceMultiples) {
      sum += FillWeight(candidate, free_slots / limits, arrivals / limits) *
             std::exp(-score_gap);
    }
    weights.push_back(sum);
  }
  const auto candidate_at = [&](double position) -> const Candidate& {
    const auto drawn = std::ranges::upper_bound(weights, position * sum);
    const auto index = std::min<std::ptrdiff_t>(drawn - weights.begin(),
                                                std::ssize(weights) - 1);
    return candidates[index];
  };
  const Candidate& first = candidate_at(draw);
  const Candidate& second = candidate_at(SecondDraw(draw));
  return second.own_in_flight / second.limit < first.own_in_flight / first.limit
             ? second
             : first;
}

}  // namespace

RoutingDecision ChooseEndpoint(const RoutingView& view,
                               const RoutingParameters& parameters,
                               const RoutingRequest& request,
                               double draw,
                               TimePoint now) {
  const double median_step_ms = MedianStepMs(view);
  std::vector<Candidate> candidates;
  bool any_slot = false;
  bool any_data_centre_out = false;
  for (int index = 0; index < std::ssize(view.endpoints); ++index) {
    const EndpointView& endpoint = view.endpoints[index];
    if (!IsEligible(view, endpoint)) {
      any_data_centre_out = any_data_centre_out ||
                            (endpoint.reported && endpoint.report.takes_work);
      continue;
    }
    if (std::ranges::find(request.excluded, endpoint.name) !=
        request.excluded.end()) {
      continue;
    }
    const Candidate candidate =
        ScoreEndpoint(view, parameters, request, index, median_step_ms, now);
    const bool has_slot = candidate.has_probable_slot;
    if (any_slot && !has_slot) {
      continue;
    }
    if (has_slot && !any_slot) {
      candidates.clear();
      any_slot = true;
    }
    candidates.push_back(candidate);
  }
  if (candidates.empty()) {
    RoutingDecision none;
    none.code = any_data_centre_out ? ResultCode::kDataCentreOut
                                    : ResultCode::kNoEndpointAvailable;
    return none;
  }
  const Candidate& chosen = DrawCandidate(candidates, parameters, draw);
  return {chosen.index, ResultCode::kAnswered, any_slot, chosen.score_ms,
          chosen.wait_ms};
}

}  // namespace toucanhollow
