// An endpoint agent and its incarnation.
#ifndef ENTRY_AGENT_INCARNATION_H_
#define ENTRY_AGENT_INCARNATION_H_

#include "base/incarnation.h"
#include "base/name.h"

namespace toucanhollow {

struct AgentIncarnation {
  EndpointName endpoint;
  Incarnation incarnation;

  bool operator==(const AgentIncarnation&) const = default;
};

}  // namespace toucanhollow

#endif  // ENTRY_AGENT_INCARNATION_H_
