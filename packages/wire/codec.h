// CBOR encoding of the messages between own processes.
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

// What a newer peer sent and this version does not know.
struct DecodeCounts {
  std::uint64_t unknown_fields = 0;
  std::uint64_t unknown_types = 0;

  bool operator==(const DecodeCounts&) const = default;
};

// A message of a type that this version knows, or nothing, and the time of
// the sender's hybrid logical clock (zero if the frame carries none).
struct DecodedFrame {
  std::optional<Message> message;
  HybridTime clock;
  DecodeCounts counts;

  bool operator==(const DecodedFrame&) const = default;
};

// `clock` is left out if it is zero.
std::string EncodeMessage(const Message& message, HybridTime clock = {});

// Fails with kFrameMalformed. Unknown fields and types are counted, missing
// fields keep their defaults.
Result<DecodedFrame> DecodeMessage(std::string_view frame);

}  // namespace toucanhollow

#endif  // WIRE_CODEC_H_
