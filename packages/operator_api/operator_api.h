// The HTTP paths that every process serves to operators, metric scrapers and
// the balancer in front: /ready, /healthz, /metrics and /timeline.
#ifndef OPERATOR_API_OPERATOR_API_H_
#define OPERATOR_API_OPERATOR_API_H_

#include "http_server/http_request.h"
#include "http_server/http_response_writer.h"
#include "session/process_context.h"

namespace toucanhollow {

// Answers a request for one of these paths and returns true; returns false for
// any other path. /timeline?after=<sequence> lists the events after that
// sequence number.
bool HandleOperatorRequest(ProcessContext& context,
                           bool ready,
                           const HttpRequest& request,
                           HttpResponseWriter& writer);

}  // namespace toucanhollow

#endif  // OPERATOR_API_OPERATOR_API_H_
