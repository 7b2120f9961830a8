// Reports of an engine about prefixes that entered or left its prefix cache.
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
  // Hash of the prefix that ends with this block; see HashPromptBlocks.
  std::uint64_t block = 0;

  bool operator==(const EngineCacheEvent&) const = default;
};

struct EngineCacheEvents {
  std::uint64_t incarnation = 0;
  // Sequence number from which the next read continues.
  std::int64_t next = 0;
  std::vector<EngineCacheEvent> events;

  bool operator==(const EngineCacheEvents&) const = default;
};

// Each word of a prompt counts as one token. The cache holds only full blocks.
inline constexpr std::int64_t kTokensPerBlock = 16;

// Returns the hash of each prefix of the prompt that ends with a full block,
// shortest prefix first.
std::vector<std::uint64_t> HashPromptBlocks(std::string_view prompt);

// Returns the number of words in the prompt.
std::int64_t CountPromptTokens(std::string_view prompt);

}  // namespace toucanhollow

#endif  // ENGINE_API_CACHE_EVENT_H_
