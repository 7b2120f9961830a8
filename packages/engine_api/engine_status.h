// The status report of an engine. It lags behind the engine's state.
#ifndef ENGINE_API_ENGINE_STATUS_H_
#define ENGINE_API_ENGINE_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

struct EngineStatus {
  // Changes when the engine restarts.
  std::uint64_t incarnation = 0;
  std::string model;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // All ranks of a group give the same step the same number.
  std::int64_t step = 0;
  Duration step_time{};
  // Expert map in use; -1 if none is loaded and the engine does not step.
  std::int64_t map_version = 0;
  // Change whose weights are staged; empty if none.
  std::string staged_change;
  // The engine holds before this step; -1 if no hold is in place.
  std::int64_t hold_step = -1;
  // Tokens routed to each expert since the engine started.
  std::vector<std::int64_t> expert_tokens;

  bool operator==(const EngineStatus&) const = default;
};

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_STATUS_H_
