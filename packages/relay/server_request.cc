#include "relay/server_request.h"

#include "http_stream/write_message.h"

namespace toucanhollow {

std::string WriteServerRequestHead(const RelayCodec& codec,
                                   const RequestHead& head,
                                   std::size_t body_bytes,
                                   const ServerRequestMetadata& metadata) {
  HttpHeaders headers =
      codec.server_headers(RemoveHopByHopHeaders(head.headers), metadata);
  const bool had_body = !FindHeader(head.headers, "Content-Length").empty() ||
                        !FindHeader(head.headers, "Transfer-Encoding").empty();
  std::erase_if(headers, [](const HttpHeader& header) {
    return IsSameHeaderName(header.name, "Content-Length");
  });
  if (had_body) {
    headers.push_back({"Content-Length", std::to_string(body_bytes)});
  }
  return WriteRequestHead(head.method, head.target, headers);
}

}  // namespace toucanhollow
