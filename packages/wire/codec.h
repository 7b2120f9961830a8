// CBOR encoding of the messages that toucanhollow processes exchange.
#ifndef WIRE_CODEC_H_
#define WIRE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "timeline/hybrid_time.h"
#include "wire/message.h"

namespace toucanhollow {

// Counts the parts of a frame that this version does not know; a newer peer
// may send them.
struct DecodeCounts {
  std::uint64_t unknown_fields = 0;
  std::uint64_t unknown_types = 0;

  bool operator==(const DecodeCounts&) const = default;
};

// `message` is empty if this version does not know the message type. `clock` is
// the time of the sender's hybrid logical clock, zero if the frame has none.
struct DecodedFrame {
  std::optional<Message> message;
  HybridTime clock;
  DecodeCounts counts;

  bool operator==(const DecodedFrame&) const = default;
};

// Encodes the message as one frame. A zero `clock` is omitted.
std::string EncodeMessage(const Message& message, HybridTime clock = {});

// Decodes one frame. Unknown fields and types are counted, and missing fields
// keep their defaults. Fails with kFrameMalformed if the frame is not a CBOR
// map with a message type or if a known field has an invalid value.
Result<DecodedFrame> DecodeMessage(std::string_view frame);

}  // namespace toucanhollow

#endif  // WIRE_CODEC_H_
