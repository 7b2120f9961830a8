// The stand-in engine's expert map: staged change, hold and activation step.
#ifndef STANDINS_ENGINE_MAP_STATE_H_
#define STANDINS_ENGINE_MAP_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "engine_api/engine_order.h"

namespace toucanhollow {

struct MapState {
  struct Use {
    std::int64_t first_step = 0;
    std::int64_t version = 0;
  };

  bool checks_fence = true;
  std::int64_t highest_fence = 0;
  // -1: no map is loaded and the engine does not step.
  std::int64_t version = 0;
  std::int64_t step = 0;
  // Staged or being staged.
  std::string change;
  std::int64_t change_version = 0;
  TimePoint staged_at;
  std::int64_t hold_step = -1;
  std::int64_t activate_step = -1;
  std::string activated_change;
  // Which map each step used, for tests.
  std::vector<Use> uses;
};

// Applies an order about maps. Returns the reason if it is refused.
std::string ApplyMapOrder(MapState& state,
                          const EngineOrder& order,
                          Duration staging_time,
                          TimePoint now);

// True if a staged change is complete.
bool IsStaged(const MapState& state, TimePoint now);

// Advances toward `target` as far as the hold allows. Returns false if the
// engine cannot take a step.
bool AdvanceStep(MapState& state, std::int64_t target);

}  // namespace toucanhollow

#endif  // STANDINS_ENGINE_MAP_STATE_H_
