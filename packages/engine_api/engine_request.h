// One completion that an engine is asked for.
#ifndef ENGINE_API_ENGINE_REQUEST_H_
#define ENGINE_API_ENGINE_REQUEST_H_

#include <cstdint>
#include <string>

namespace toucanhollow {

struct EngineRequest {
  // Names the stream for resume and cancel; not used twice.
  std::string id;
  std::string model;
  std::string prompt;
  // Of the whole answer, tokens before start_index included.
  std::int64_t max_tokens = 16;
  // First index to generate; the tokens before it were delivered by an
  // earlier attempt.
  std::int64_t start_index = 0;
  // Higher goes first in the engine's queue.
  std::int64_t priority = 0;

  bool operator==(const EngineRequest&) const = default;
};

// One piece of an answer's stream.
struct EngineEvent {
  enum class Kind { kToken, kDone };
  Kind kind = Kind::kToken;
  // The token's index, or for kDone the count of tokens from index 0 on.
  std::int64_t index = 0;
  std::string text;

  bool operator==(const EngineEvent&) const = default;
};

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_REQUEST_H_
