// Encodes and decodes entries of the log stream `claims`.
#ifndef LOG_CODEC_CLAIMS_CODEC_H_
#define LOG_CODEC_CLAIMS_CODEC_H_

#include <cstddef>
#include <span>
#include <string>

#include "base/log_entry.h"
#include "idempotency/claims_record.h"

namespace toucanhollow {

struct DecodedClaims {
  // Always has the offset and time, so that an unreadable entry is folded as an
  // empty one and is not mistaken for a gap.
  ClaimsEntry entry;
  // Number of records that could not be decoded or have an unknown type.
  std::size_t unreadable = 0;

  bool operator==(const DecodedClaims&) const = default;
};

// Returns the payload of one entry. The time in a key is encoded in whole
// milliseconds.
std::string EncodeClaims(std::span<const ClaimsRecord> records);

// Decodes one entry and ignores unknown fields. Never throws.
DecodedClaims DecodeClaims(const LogEntry& entry);

}  // namespace toucanhollow

#endif  // LOG_CODEC_CLAIMS_CODEC_H_
