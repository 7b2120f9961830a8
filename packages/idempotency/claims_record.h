// The records of the log's stream `claims`. Writers append them in batches:
// one log entry holds a list of records, which are applied in list order.
#ifndef IDEMPOTENCY_CLAIMS_RECORD_H_
#define IDEMPOTENCY_CLAIMS_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/incarnation.h"
#include "base/log_entry.h"
#include "base/name.h"
#include "base/time.h"
#include "idempotency/idempotency_key.h"

namespace toucanhollow {

// Longer answer bodies are not stored in the log.
constexpr std::size_t kMaxResultBodyBytes = 2048;

// An agent claims the right to run the dispatch.
struct ClaimRecord {
  ScopedKey key;
  std::uint64_t digest = 0;
  DispatchId dispatch;
  ProcessName agent;
  Incarnation incarnation;

  bool operator==(const ClaimRecord&) const = default;
};

// The entry host voids a dispatch that it no longer waits for: claims after
// this record do not win. The key is included so that the record can be dropped
// when the key expires.
struct VoidRecord {
  ScopedKey key;
  DispatchId dispatch;

  bool operator==(const VoidRecord&) const = default;
};

// The claiming incarnation states that it has not run the dispatch and never
// will.
struct ReleaseRecord {
  ScopedKey key;
  DispatchId dispatch;
  ProcessName agent;
  Incarnation incarnation;

  bool operator==(const ReleaseRecord&) const = default;
};

// The answer of a dispatch that ran.
struct ResultRecord {
  ScopedKey key;
  DispatchId dispatch;
  int http_status = 0;
  std::string body;
  // False if the body was longer than kMaxResultBodyBytes and was left out.
  bool whole = true;

  bool operator==(const ResultRecord&) const = default;
};

using ClaimsRecord =
    std::variant<ClaimRecord, VoidRecord, ReleaseRecord, ResultRecord>;

// A decoded log entry of stream `claims`.
struct ClaimsEntry {
  LogOffset offset = 0;
  WallTime time;
  std::vector<ClaimsRecord> records;

  bool operator==(const ClaimsEntry&) const = default;
};

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_CLAIMS_RECORD_H_
