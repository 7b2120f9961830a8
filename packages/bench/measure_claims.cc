#include <vector>

#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "idempotency/claim_fold.h"
#include "log_codec/claims_codec.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kUsualBodyBytes = 256;

// A claim and its result, as one keyed call leaves them in the log.
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

// Keys at a rate that keeps all of them within the key memory.
WallTime TimeOf(std::int64_t number) {
  return WallTime(Seconds(1'700'000'000) + Milliseconds(number));
}

void MeasureFold(std::int64_t keys, std::size_t body_bytes) {
  std::vector<LogEntry> entries;
  std::int64_t payload_bytes = 0;
  for (std::int64_t i = 0; i < keys; ++i) {
    const auto records = MakeRecords(i, TimeOf(i), body_bytes);
    entries.push_back({i + 1, TimeOf(i), EncodeClaims(records)});
    payload_bytes += static_cast<std::int64_t>(entries.back().payload.size());
  }
  const std::int64_t before = HeapBytes();
  ClaimFold fold;
  const double us = MeasureOnceUs([&] {
    for (const LogEntry& entry : entries) {
      fold = FoldClaim(std::move(fold), DecodeClaims(entry).entry).fold;
    }
  });
  const auto heap = static_cast<double>(HeapBytes() - before);
  const std::string suffix =
      body_bytes == kUsualBodyBytes ? "" : "_largest_body";
  ReportPoint("claims_replay_us" + suffix, keys, us, "us");
  ReportPoint("claims_fold_bytes" + suffix, keys, heap, "bytes");
  ReportPoint("claims_payload_bytes" + suffix, keys,
              static_cast<double>(payload_bytes), "bytes");
}

}  // namespace

void MeasureClaims() {
  for (const std::int64_t keys : {5'000, 10'000, 20'000, 40'000, 80'000}) {
    MeasureFold(keys, kUsualBodyBytes);
  }
  for (const std::int64_t keys : {2'500, 5'000, 10'000, 20'000}) {
    MeasureFold(keys, kMaxResultBodyBytes);
  }
}

}  // namespace toucanhollow
