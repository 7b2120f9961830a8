// Decides by the reply of a server's agent whether the server crashed.
#ifndef RELAY_ENGINE_CHECK_H_
#define RELAY_ENGINE_CHECK_H_

#include "map_task/rank_message.h"
#include "traffic/known_server.h"

namespace toucanhollow {

enum class EngineState {
  kRunning,  // the incarnation that is listed still runs
  kEnded,    // no engine runs there, or a later incarnation
  kUnknown,  // the agent or the engine did not answer
};

EngineState ClassifyEngine(const RankReply& reply, const ListedServer& server);

}  // namespace toucanhollow

#endif  // RELAY_ENGINE_CHECK_H_
