// An order to an engine. Each order states a fact recorded in the log, so a
// repeated order does no harm even if the engine ignores the fencing token.
#ifndef ENGINE_API_ENGINE_ORDER_H_
#define ENGINE_API_ENGINE_ORDER_H_

#include <cstdint>
#include <string>

namespace toucanhollow {

struct EngineOrder {
  // The comments list the fields that each kind uses.
  enum class Kind {
    kLoadModel,   // model; the engine is cold afterwards
    kLoadMap,     // version; allowed only while the engine has no map
    kStageMap,    // change, version, bytes
    kHoldBefore,  // change, step
    kActivateAt,  // change, step; releases the hold
    kContinueOn,  // change; discards the staged map and releases the hold
  };
  Kind kind = Kind::kLoadModel;
  // Fencing token: the log offset of the proposal.
  std::int64_t fence = 0;
  std::string model;
  std::string change;
  std::int64_t version = 0;
  std::int64_t step = 0;
  // Number of weight bytes that the engine has to fetch.
  std::int64_t bytes = 0;

  bool operator==(const EngineOrder&) const = default;
};

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_ORDER_H_
