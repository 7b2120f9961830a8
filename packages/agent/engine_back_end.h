// A model engine as the back end of an agent.
#ifndef AGENT_ENGINE_BACK_END_H_
#define AGENT_ENGINE_BACK_END_H_

#include "agent/back_end.h"
#include "engine_api/engine_client.h"
#include "event_loop/event_loop.h"

namespace toucanhollow {

// Tokens of an answer whose caller gave no bound.
constexpr std::int64_t kDefaultMaxTokens = 256;
// A cut stream is resumed at the same engine this often before the attempt
// ends; the entry host then continues it on another endpoint.
constexpr int kMaxEngineResumes = 1;

// `engine` must outlive the back end.
BackEnd MakeEngineBackEnd(EngineClient& engine);

}  // namespace toucanhollow

#endif  // AGENT_ENGINE_BACK_END_H_
