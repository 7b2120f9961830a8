// EngineModel: a model of one endpoint that batches requests, warms up with
// use, and fails under more than it bears.
#ifndef POLICY_BENCH_ENGINE_MODEL_H_
#define POLICY_BENCH_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

struct EngineProfile {
  int full_limit = 32;
  int cold_limit = 2;
  // Step time with an empty and a full batch.
  double empty_step_ms = 16;
  double full_step_ms = 24;
  double prefill_ms_per_token = 0.1;
  // For plain services: mean service time, spread evenly by half of it.
  double plain_ms = 0;
  int cache_blocks = 0;
  // While in use, a cold endpoint bears twice as much after this time.
  double warm_doubling_ms = 700;
  // Times of a cold endpoint are longer by this factor.
  double cold_factor = 4;

  bool operator==(const EngineProfile&) const = default;
};

struct EngineModel {
  EngineProfile profile;
  std::uint64_t incarnation = 1;
  // Requests that it bears now, from the cold to the full limit.
  double bears = 2;
  TimePoint warmed_at;
  int running = 0;
  // Least recently used blocks last.
  std::list<std::uint64_t> cache_order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
};

// Brings `bears` up to date; to be called before `running` changes.
void WarmEngine(EngineModel& engine, TimePoint now);

// 1 for a warm endpoint, `cold_factor` for a cold one.
double Slowdown(const EngineModel& engine);

// Time that work of `warm_ms` on a warm endpoint takes, if the endpoint stays
// in use and so warms up meanwhile.
double ElapsedMs(const EngineModel& engine, double warm_ms);

double StepMs(const EngineModel& engine);

struct CacheChange {
  int matched_blocks = 0;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> removed;

  bool operator==(const CacheChange&) const = default;
};

// Looks up the longest cached prefix, then stores all blocks of the prompt.
CacheChange UseCache(EngineModel& engine,
                     std::span<const std::uint64_t> blocks);

}  // namespace toucanhollow

#endif  // POLICY_BENCH_ENGINE_MODEL_H_
