// Idempotency keys as callers send them: "<issue time in ms>-<token>".
#ifndef IDEMPOTENCY_IDEMPOTENCY_KEY_H_
#define IDEMPOTENCY_IDEMPOTENCY_KEY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/name.h"
#include "base/result.h"
#include "base/time.h"

namespace toucanhollow {

// How long after its issue a key is stored and accepted. The log's retention
// must exceed it by 1 h.
constexpr Duration kKeyMemory = std::chrono::hours(24);
// How far a key's issue time may lie in the future, since the callers' clocks
// may be ahead.
constexpr Duration kMaxKeyLead = Seconds(60);
constexpr std::size_t kMaxKeyTokenBytes = 128;

// A key is unique only within one client account and service. Keys are ordered
// by issue time first, so that expired keys are at the front of a map.
struct ScopedKey {
  WallTime issued;
  AccountName account;
  ServiceName service;
  std::string token;

  bool operator==(const ScopedKey&) const = default;
  auto operator<=>(const ScopedKey&) const = default;
};

// Parses the text of an Idempotency-Key header. Codes: kKeyMalformed.
Result<ScopedKey> ParseKey(AccountName account,
                           ServiceName service,
                           std::string_view text);

// Formats the key as the text that ParseKey parses.
std::string FormatKey(const ScopedKey& key);

// Digest of the request that the key was issued for. The same key with another
// digest is refused with kKeyConflict, since one of the two requests would
// otherwise get the answer of the other.
std::uint64_t RequestDigest(std::string_view method,
                            std::string_view path,
                            std::string_view body);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_IDEMPOTENCY_KEY_H_
