// The lifecycle of a request. It ends in one of three outcomes: a complete
// answer, a failure without a run, or a failure after which the request may
// have run.
#ifndef REQUEST_ON_EVENT_H_
#define REQUEST_ON_EVENT_H_

#include <vector>

#include "request/request_action.h"
#include "request/request_event.h"
#include "request/request_state.h"

namespace toucanhollow {

struct RequestStep {
  RequestState state;
  std::vector<RequestAction> actions;

  bool operator==(const RequestStep&) const = default;
};

// Applies one event. Exactly one FinishComplete or FinishFailed action is
// returned over the lifetime of a request, and no action follows it. The code
// of a failure is in 1100-1199 only if no attempt may have run, and in
// 1200-1299 otherwise.
RequestStep OnEvent(RequestState state, const RequestEvent& event);

}  // namespace toucanhollow

#endif  // REQUEST_ON_EVENT_H_
