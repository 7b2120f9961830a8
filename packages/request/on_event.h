// The lifecycle of a request: one of three outcomes, each of them true.
#ifndef REQUEST_ON_EVENT_H_
#define REQUEST_ON_EVENT_H_

#include <vector>

#include "request/request_action.h"
#include "request/request_event.h"
#include "request/request_life.h"

namespace toucanhollow {

struct RequestStep {
  RequestLife life;
  std::vector<RequestAction> actions;

  bool operator==(const RequestStep&) const = default;
};

// Applies one event. Exactly one Finish action is given over the life of a
// request, and none follows it. A failure's code is 1100-1199 only if no
// attempt may have run, and 1200-1299 otherwise.
RequestStep OnEvent(RequestLife life, const RequestEvent& event);

}  // namespace toucanhollow

#endif  // REQUEST_ON_EVENT_H_
