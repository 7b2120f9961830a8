// Encodes the head of the request that is sent to a server.
#ifndef RELAY_SERVER_REQUEST_H_
#define RELAY_SERVER_REQUEST_H_

#include <cstddef>
#include <string>

#include "http_stream/message_head.h"
#include "relay/relay_codec.h"

namespace toucanhollow {

// Keeps the caller's method, target, headers and body, except for the headers
// of the connection and those that the codec sets. The body, which follows the
// returned bytes, is sent with its Content-Length, however the caller framed
// it.
std::string WriteServerRequestHead(const RelayCodec& codec,
                                   const RequestHead& head,
                                   std::size_t body_bytes,
                                   const ServerRequestMetadata& metadata);

}  // namespace toucanhollow

#endif  // RELAY_SERVER_REQUEST_H_
