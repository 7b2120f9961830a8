// One run of one endpoint agent, as a dispatch is bound to it.
#ifndef ENTRY_AGENT_RUN_H_
#define ENTRY_AGENT_RUN_H_

#include "base/incarnation.h"
#include "base/name.h"

namespace toucanhollow {

struct AgentRun {
  EndpointName endpoint;
  Incarnation incarnation;

  bool operator==(const AgentRun&) const = default;
};

}  // namespace toucanhollow

#endif  // ENTRY_AGENT_RUN_H_
