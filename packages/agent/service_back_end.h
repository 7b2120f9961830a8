// Adapts a plain service to the agent's back-end interface.
#ifndef AGENT_SERVICE_BACK_END_H_
#define AGENT_SERVICE_BACK_END_H_

#include "agent/back_end.h"
#include "service_api/service_client.h"

namespace toucanhollow {

// `service` must outlive the back end.
BackEnd MakeServiceBackEnd(ServiceClient& service);

}  // namespace toucanhollow

#endif  // AGENT_SERVICE_BACK_END_H_
