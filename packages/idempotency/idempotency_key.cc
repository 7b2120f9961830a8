#include "idempotency/idempotency_key.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include "base/hash.h"

namespace toucanhollow {
namespace {

// 15 digits of milliseconds reach the year 33658 and cannot overflow a 64-bit
// count of microseconds.
constexpr std::size_t kMaxIssueDigits = 15;

bool IsVisibleAscii(char c) {
  return c > ' ' && c <= '~';
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

Failure Malformed(std::string_view text, const char* fault) {
  return MakeFailure(ResultCode::kKeyMalformed,
                     "Idempotency-Key '" + std::string(text.substr(0, 160)) +
                         "': " + fault +
                         "; send <issue time in ms since 1970>-<token>");
}

}  // namespace

Result<ScopedKey> ParseKey(AccountName account,
                           ServiceName service,
                           std::string_view text) {
  const std::size_t dash = text.find('-');
  if (dash == std::string_view::npos) {
    return Malformed(text, "no '-' after the issue time");
  }
  const std::string_view digits = text.substr(0, dash);
  const std::string_view token = text.substr(dash + 1);
  if (digits.empty() || digits.size() > kMaxIssueDigits ||
      !std::ranges::all_of(digits, IsDigit)) {
    return Malformed(text, "the issue time is not a number of milliseconds");
  }
  if (token.empty() || token.size() > kMaxKeyTokenBytes ||
      !std::ranges::all_of(token, IsVisibleAscii)) {
    return Malformed(text,
                     "the token must have 1 to 128 visible ASCII characters");
  }
  std::int64_t milliseconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds);
  return ScopedKey{WallTime(Milliseconds(milliseconds)), std::move(account),
                   std::move(service), std::string(token)};
}

std::string FormatKey(const ScopedKey& key) {
  const auto issued = std::chrono::duration_cast<std::chrono::milliseconds>(
      key.issued.time_since_epoch());
  return std::to_string(issued.count()) + "-" + key.token;
}

std::uint64_t RequestDigest(std::string_view method,
                            std::string_view path,
                            std::string_view body) {
  return HashText(body, HashText(path, HashText(method)));
}

}  // namespace toucanhollow
