// Decides whether the end of a message's body is clear (RFC 9112, sections 6.1
// and 6.3). A body that ends at different places for different programs can
// hide another message.
#ifndef HTTP_MESSAGE_BODY_FRAMING_H_
#define HTTP_MESSAGE_BODY_FRAMING_H_

#include "http_message/http_message.h"

namespace toucanhollow {

enum class BodyFraming {
  kClear,
  // The body ends with its last chunk but has a transfer coding besides
  // "chunked", which this program does not decode. Status 501.
  kUnknownCoding,
  // Status 400. The rest of the connection must not be parsed.
  kAmbiguous,
};

// `is_http_1_0`: the message states version 1.0, which has no transfer codings.
BodyFraming CheckRequestFraming(const HttpHeaders& headers, bool is_http_1_0);

// Considers only the transfer codings, with and without a Content-Length. A
// response without them may have no length, and ends with its connection then.
BodyFraming CheckResponseFraming(const HttpHeaders& headers, bool is_http_1_0);

}  // namespace toucanhollow

#endif  // HTTP_MESSAGE_BODY_FRAMING_H_
