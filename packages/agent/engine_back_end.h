// Adapts a model engine to the agent's back-end interface.
#ifndef AGENT_ENGINE_BACK_END_H_
#define AGENT_ENGINE_BACK_END_H_

#include "agent/back_end.h"
#include "engine_api/engine_client.h"
#include "event_loop/event_loop.h"

namespace toucanhollow {

// Maximum number of tokens in an answer whose caller set no limit.
constexpr std::int64_t kDefaultMaxTokens = 256;
// An interrupted stream is resumed on the same engine at most this many times.
// After that the attempt ends and the entry host continues the stream on
// another endpoint.
constexpr int kMaxEngineResumes = 1;

// `engine` must outlive the back end.
BackEnd MakeEngineBackEnd(EngineClient& engine);

}  // namespace toucanhollow

#endif  // AGENT_ENGINE_BACK_END_H_
