// An order to an engine. Orders state facts of the log, so that an engine
// that ignores the fencing token does no harm when one is repeated.
#ifndef ENGINE_API_ENGINE_ORDER_H_
#define ENGINE_API_ENGINE_ORDER_H_

#include <cstdint>
#include <string>

namespace toucanhollow {

struct EngineOrder {
  enum class Kind {
    kLoadModel,   // model; the engine is cold afterwards
    kLoadMap,     // version; only while the engine has no map
    kStageMap,    // change, version, bytes
    kHoldBefore,  // change, step
    kActivateAt,  // change, step; lifts the hold
    kContinueOn,  // change; drops the staged map and lifts the hold
  };
  Kind kind = Kind::kLoadModel;
  // Offset of the proposal in the log.
  std::int64_t fence = 0;
  std::string model;
  std::string change;
  std::int64_t version = 0;
  std::int64_t step = 0;
  // Weight bytes to fetch.
  std::int64_t bytes = 0;

  bool operator==(const EngineOrder&) const = default;
};

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_ORDER_H_
