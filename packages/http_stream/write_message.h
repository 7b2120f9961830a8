// Writes HTTP/1.1 messages as bytes.
#ifndef HTTP_STREAM_WRITE_MESSAGE_H_
#define HTTP_STREAM_WRITE_MESSAGE_H_

#include <string>
#include <string_view>

#include "http_message/http_message.h"

namespace toucanhollow {

// Start line, headers and the empty line. Headers go out as given.
std::string WriteRequestHead(std::string_view method,
                             std::string_view target,
                             const HttpHeaders& headers);
std::string WriteResponseHead(int status,
                              std::string_view reason,
                              const HttpHeaders& headers);

// One chunk of a chunked body; empty text gives no bytes.
std::string WriteChunk(std::string_view bytes);

// The chunk that ends a chunked body.
std::string_view LastChunk();

// The usual reason phrase of a status code.
std::string_view ReasonPhrase(int status);

// The headers without those that concern one connection only (RFC 9110,
// 7.6.1), including the ones that "Connection" names.
HttpHeaders WithoutConnectionHeaders(const HttpHeaders& headers);

// True if the names are equal in any case.
bool SameHeaderName(std::string_view left, std::string_view right);

}  // namespace toucanhollow

#endif  // HTTP_STREAM_WRITE_MESSAGE_H_
