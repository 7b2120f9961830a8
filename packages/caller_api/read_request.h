// Parses a caller's HTTP request.
#ifndef CALLER_API_READ_REQUEST_H_
#define CALLER_API_READ_REQUEST_H_

#include "base/result.h"
#include "caller_api/caller_request.h"
#include "http_server/http_request.h"

namespace toucanhollow {

// Fails with kMalformedRequest (the detail names the field and the remedy),
// kUnknownAccount (the account header is missing or not a valid name) or
// kUnknownPath.
Result<CallerRequest> ReadRequest(const HttpRequest& http);

}  // namespace toucanhollow

#endif  // CALLER_API_READ_REQUEST_H_
