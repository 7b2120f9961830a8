// TrafficConfig: one version of the operators' configuration of routes,
// services, client accounts and limits, as applied by an entry host.
#ifndef TRAFFIC_TRAFFIC_CONFIG_H_
#define TRAFFIC_TRAFFIC_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

enum class RouteKind {
  kSafe,    // may run more than once
  kUnsafe,  // runs at most once
  kStream,  // an event stream; repeatable only if the route is resumable
};

struct ServiceShare {
  ServiceName service;
  double weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// Of routes that leave the time to their callers.
inline constexpr Duration kNoTimeout = std::chrono::hours(24);

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout = kNoTimeout;  // from arrival to the final answer
  Duration target_latency{0};     // to the answer, or to the first event
  int priority = 0;               // 0 is the most urgent
  std::vector<ServiceShare> shares;
  int max_attempts = 1;  // servers that one request may be sent to
  bool anonymous = false;
  bool resumable = false;
  Duration max_event_gap{0};  // of streams; zero means no target

  bool operator==(const Route&) const = default;
};

// Parameters of a model engine from which a host predicts the durations of its
// work.
struct EngineParameters {
  int slots = 0;
  double kv_capacity_tokens = 0;
  double step_ms = 0;                   // one decoding step of an empty batch
  double step_ms_per_sequence = 0;      // added by each decoding request
  double step_ms_per_1000_context = 0;  // added by 1,000 tokens of context
  double prefill_tokens_per_s = 0;
  double prefill_ms_per_million_pairs = 0;
  int prefill_chunk_tokens = 0;  // maximum prompt tokens in one step
  int steps_per_pass = 1;        // of a pass that has decoding requests
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  // Expert maps; zero sets means that the engine has none.
  int expert_sets = 0;
  int expert_slots_per_rank = 0;  // experts of a set that one rank holds
  // Experts of a set that one preparation may add to a rank.
  int max_added_experts_per_rank = 0;
  Duration expert_load_time{0};  // time that a rank takes to load one expert

  bool operator==(const EngineParameters&) const = default;
};

struct Service {
  ServiceName name;
  int max_connections = 0;  // that one server accepts from all callers
  Duration cold_time{0};
  double cold_requests_per_s = 0;  // zero means that servers have no cold phase
  std::optional<EngineParameters> engine;

  bool operator==(const Service&) const = default;
};

constexpr bool HasExpertMaps(const Service& service) {
  return service.engine && service.engine->expert_sets > 0;
}

struct ClientAccount {
  AccountName name;
  std::optional<int> priority;  // overrides the route's priority

  bool operator==(const ClientAccount&) const = default;
};

struct IngressLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;
  Duration header_timeout = Seconds(3);
  Duration idle_timeout = Seconds(15);

  bool operator==(const IngressLimits&) const = default;
};

struct TrafficConfig {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  // A request needs the key of an account unless its route is anonymous. If
  // there are no accounts, every key is refused.
  bool requires_key = false;
  std::map<std::string, ClientAccount, std::less<>> accounts_by_key;
  IngressLimits limits;

  bool operator==(const TrafficConfig&) const = default;
};

constexpr bool IsRepeatable(const Route& route) {
  return route.kind == RouteKind::kSafe ||
         (route.kind == RouteKind::kStream && route.resumable);
}

}  // namespace toucanhollow

#endif  // TRAFFIC_TRAFFIC_CONFIG_H_
