// The bytes of a request that goes to a server.
#ifndef RELAY_SERVER_REQUEST_H_
#define RELAY_SERVER_REQUEST_H_

#include <string>

#include "http_stream/message_head.h"
#include "relay/relay_codec.h"

namespace toucanhollow {

// Method, target, body and headers are the caller's, but for headers of the
// connection and those that the codec sets. A body has a length, however the
// caller framed it.
std::string WriteServerRequest(const RelayCodec& codec,
                               const RequestHead& head,
                               const std::string& body,
                               const ServerRequestFacts& facts);

}  // namespace toucanhollow

#endif  // RELAY_SERVER_REQUEST_H_
