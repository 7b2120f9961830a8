// A completion request to an engine and the events of its answer.
#ifndef ENGINE_API_ENGINE_REQUEST_H_
#define ENGINE_API_ENGINE_REQUEST_H_

#include <cstdint>
#include <string>

namespace toucanhollow {

struct EngineRequest {
  // Unique; identifies the stream when it is resumed or cancelled.
  std::string id;
  std::string model;
  std::string prompt;
  // Limit for the whole answer, including the tokens before start_index.
  std::int64_t max_tokens = 16;
  // Index of the first token to generate. An earlier attempt delivered the
  // tokens before it.
  std::int64_t start_index = 0;
  // The engine's queue serves higher values first.
  std::int64_t priority = 0;

  bool operator==(const EngineRequest&) const = default;
};

// One event of an answer's stream.
struct EngineEvent {
  enum class Kind { kToken, kDone };
  Kind kind = Kind::kToken;
  // For kToken the token's index; for kDone the number of tokens in the whole
  // answer, counted from index 0.
  std::int64_t index = 0;
  std::string text;

  bool operator==(const EngineEvent&) const = default;
};

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_REQUEST_H_
