// An engine's report of a prefix that entered or left its cache.
#ifndef ENGINE_API_CACHE_EVENT_H_
#define ENGINE_API_CACHE_EVENT_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace toucanhollow {

struct EngineCacheEvent {
  // Ascending; a gap means that events were lost.
  std::int64_t sequence = 0;
  bool stored = false;
  // Hash of the prefix that ends with this block, as HashPromptBlocks gives it.
  std::uint64_t block = 0;

  bool operator==(const EngineCacheEvent&) const = default;
};

struct EngineCacheEvents {
  std::uint64_t incarnation = 0;
  // Sequence to ask for next.
  std::int64_t next = 0;
  std::vector<EngineCacheEvent> events;

  bool operator==(const EngineCacheEvents&) const = default;
};

// Words stand for prompt tokens; the cache keeps whole blocks of them.
inline constexpr std::int64_t kTokensPerBlock = 16;

// Hashes of the prompt's prefixes that end with a whole block, shortest first.
std::vector<std::uint64_t> HashPromptBlocks(std::string_view prompt);

// Words of the prompt.
std::int64_t CountPromptTokens(std::string_view prompt);

}  // namespace toucanhollow

#endif  // ENGINE_API_CACHE_EVENT_H_
