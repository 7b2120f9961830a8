// Entries of the log's stream `claims` to and from payload text.
#ifndef LOG_CODEC_CLAIMS_CODEC_H_
#define LOG_CODEC_CLAIMS_CODEC_H_

#include <cstddef>
#include <span>
#include <string>

#include "base/log_entry.h"
#include "idempotency/claims_record.h"

namespace toucanhollow {

struct DecodedClaims {
  // Always holds the offset and time, so that an unreadable entry is folded as
  // an empty one and does not look like a gap.
  ClaimsEntry entry;
  // Records that could not be read or have an unknown type; to be counted.
  std::size_t unreadable = 0;

  bool operator==(const DecodedClaims&) const = default;
};

// The payload of one entry. Keys are kept to the millisecond.
std::string EncodeClaims(std::span<const ClaimsRecord> records);

// Never throws. Unknown fields are ignored.
DecodedClaims DecodeClaims(const LogEntry& entry);

}  // namespace toucanhollow

#endif  // LOG_CODEC_CLAIMS_CODEC_H_
