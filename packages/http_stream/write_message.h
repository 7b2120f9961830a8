// Serialises HTTP/1.1 messages.
#ifndef HTTP_STREAM_WRITE_MESSAGE_H_
#define HTTP_STREAM_WRITE_MESSAGE_H_

#include <string>
#include <string_view>

#include "http_message/http_message.h"

namespace toucanhollow {

// Returns the start line, the headers exactly as given, and the empty line.
std::string WriteRequestHead(std::string_view method,
                             std::string_view target,
                             const HttpHeaders& headers);
std::string WriteResponseHead(int status,
                              std::string_view reason,
                              const HttpHeaders& headers);

// Returns one chunk of a chunked body, or nothing if `bytes` is empty, because
// an empty chunk would end the body.
std::string WriteChunk(std::string_view bytes);

// Returns the last chunk, which ends a chunked body.
std::string_view LastChunk();

// Returns the standard reason phrase of a status code that this program sends,
// or "Status" for any other code.
std::string_view ReasonPhrase(int status);

// Returns the headers without the hop-by-hop headers (RFC 9110, 7.6.1),
// including those that a "Connection" header lists.
HttpHeaders RemoveHopByHopHeaders(const HttpHeaders& headers);

}  // namespace toucanhollow

#endif  // HTTP_STREAM_WRITE_MESSAGE_H_
