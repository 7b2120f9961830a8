// Encodes and decodes permit messages: CBOR arrays that begin with a tag, which
// tells them from the other datagrams of the same port.
#ifndef PERMIT_PERMIT_CODEC_H_
#define PERMIT_PERMIT_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "permit/permit_message.h"

namespace toucanhollow {

// True if the datagram begins as a permit message.
bool IsPermitMessage(std::string_view bytes);

std::string EncodePermitRequest(const PermitRequest& request);
// Fails with kFrameMalformed.
Result<PermitRequest> DecodePermitRequest(std::string_view bytes);

std::string EncodePermitReply(const PermitReply& reply);
// Fails with kFrameMalformed.
Result<PermitReply> DecodePermitReply(std::string_view bytes);

}  // namespace toucanhollow

#endif  // PERMIT_PERMIT_CODEC_H_
