#include "policy_bench/engine_model.h"

#include <algorithm>
#include <cmath>

namespace toucanhollow {

void WarmEngine(EngineModel& engine, TimePoint now) {
  const double full = engine.profile.full_limit;
  if (engine.running > 0 && engine.bears < full) {
    engine.bears = std::min(
        full, engine.bears * std::exp2(ToMilliseconds(now - engine.warmed_at) /
                                       engine.profile.warm_doubling_ms));
  }
  engine.warmed_at = now;
}

double Slowdown(const EngineModel& engine) {
  const double cold = engine.profile.cold_limit;
  const double full = engine.profile.full_limit;
  const double warmth =
      full <= cold ? 1
                   : std::log2(engine.bears / cold) / std::log2(full / cold);
  return 1 + (engine.profile.cold_factor - 1) * (1 - std::min(1.0, warmth));
}

double ElapsedMs(const EngineModel& engine, double warm_ms) {
  constexpr double kStepMs = 20;
  const double full = engine.profile.full_limit;
  EngineModel ahead;
  ahead.profile = engine.profile;
  ahead.bears = engine.bears;
  double elapsed_ms = 0;
  while (ahead.bears < full && warm_ms > 0) {
    const double slowdown = Slowdown(ahead);
    const double spent_ms = std::min(kStepMs, warm_ms * slowdown);
    elapsed_ms += spent_ms;
    warm_ms -= spent_ms / slowdown;
    ahead.bears = std::min(
        full,
        ahead.bears * std::exp2(spent_ms / engine.profile.warm_doubling_ms));
  }
  return elapsed_ms + warm_ms;
}

double StepMs(const EngineModel& engine) {
  const EngineProfile& profile = engine.profile;
  const double fill = static_cast<double>(engine.running) / profile.full_limit;
  return (profile.empty_step_ms +
          fill * (profile.full_step_ms - profile.empty_step_ms)) *
         Slowdown(engine);
}

CacheChange UseCache(EngineModel& engine,
                     std::span<const std::uint64_t> blocks) {
  CacheChange change;
  bool matching = true;
  for (const std::uint64_t block : blocks) {
    const auto found = engine.cache.find(block);
    matching = matching && found != engine.cache.end();
    change.matched_blocks += matching ? 1 : 0;
    if (found != engine.cache.end()) {
      engine.cache_order.splice(engine.cache_order.begin(), engine.cache_order,
                                found->second);
      continue;
    }
    engine.cache_order.push_front(block);
    engine.cache.emplace(block, engine.cache_order.begin());
    change.stored.push_back(block);
  }
  while (std::ssize(engine.cache) > engine.profile.cache_blocks) {
    change.removed.push_back(engine.cache_order.back());
    engine.cache.erase(engine.cache_order.back());
    engine.cache_order.pop_back();
  }
  return change;
}

}  // namespace toucanhollow
