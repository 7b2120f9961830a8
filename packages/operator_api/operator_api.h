// The paths that operators, scrapers and the balancer read, in every process:
// /ready, /healthz, /metrics and /timeline.
#ifndef OPERATOR_API_OPERATOR_API_H_
#define OPERATOR_API_OPERATOR_API_H_

#include "http_server/http_request.h"
#include "http_server/http_response_writer.h"
#include "session/process_context.h"

namespace toucanhollow {

// Answers a request for one of these paths; false for any other path.
// /timeline?after=<sequence> gives the events after that sequence number.
bool HandleOperatorRequest(ProcessContext& context,
                           bool ready,
                           const HttpRequest& request,
                           HttpResponseWriter& writer);

}  // namespace toucanhollow

#endif  // OPERATOR_API_OPERATOR_API_H_
