#include <vector>

#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "idempotency/claim_fold.h"
#include "log_codec/claims_codec.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kTypicalBodyBytes = 256;

// Makes the claim and the result that one call with an idempotency key appends
// to the log.
std::vector<ClaimsRecord> MakeRecords(std::int64_t number,
                                      WallTime time,
                                      std::size_t body_bytes) {
  const ScopedKey key{time,
                      {"account-" + std::to_string(number % 330)},
                      {"listings"},
                      "token-" + std::to_string(number)};
  const DispatchId dispatch{"amherst-entry-1.17000000." +
                            std::to_string(number) + ".1"};
  const ProcessName agent{"amherst-listings-1"};
  return {ClaimRecord{key, 1, dispatch, agent, Incarnation{7}},
          ResultRecord{key, dispatch, 200, std::string(body_bytes, 'b'), true}};
}

// Spaces keys 1 ms apart, so that all stay within kKeyMemory.
WallTime MakeLogTime(std::int64_t number) {
  return WallTime(Seconds(1'700'000'000) + Milliseconds(number));
}

void MeasureClaimFold(std::int64_t keys, std::size_t body_bytes) {
  std::vector<LogEntry> entries;
  std::int64_t payload_bytes = 0;
  for (std::int64_t i = 0; i < keys; ++i) {
    const auto records = MakeRecords(i, MakeLogTime(i), body_bytes);
    entries.push_back({i + 1, MakeLogTime(i), EncodeClaims(records)});
    payload_bytes += static_cast<std::int64_t>(entries.back().payload.size());
  }
  const std::int64_t before = AllocatedHeapBytes();
  ClaimFold fold;
  const double us = MeasureOnceUs([&] {
    for (const LogEntry& entry : entries) {
      fold = FoldClaim(std::move(fold), DecodeClaims(entry).entry).fold;
    }
  });
  const auto heap = static_cast<double>(AllocatedHeapBytes() - before);
  const std::string suffix =
      body_bytes == kTypicalBodyBytes ? "" : "_largest_body";
  ReportMeasurement("claims_replay_us" + suffix, keys, us, "us");
  ReportMeasurement("claims_fold_bytes" + suffix, keys, heap, "bytes");
  ReportMeasurement("claims_payload_bytes" + suffix, keys,
                    static_cast<double>(payload_bytes), "bytes");
}

}  // namespace

void MeasureClaims() {
  for (const std::int64_t keys : {5'000, 10'000, 20'000, 40'000, 80'000}) {
    MeasureClaimFold(keys, kTypicalBodyBytes);
  }
  for (const std::int64_t keys : {2'500, 5'000, 10'000, 20'000}) {
    MeasureClaimFold(keys, kMaxResultBodyBytes);
  }
}

}  // namespace toucanhollow
