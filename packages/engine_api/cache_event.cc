#include "engine_api/cache_event.h"

#include <string>

#include "base/hash.h"

namespace toucanhollow {
namespace {

// Calls `visit` with the end offset of each word, exclusive.
template <typename Visit>
void ForEachWordEnd(std::string_view prompt, const Visit& visit) {
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    const bool last = i + 1 == prompt.size() || prompt[i + 1] == ' ';
    if (prompt[i] != ' ' && last) {
      visit(i + 1);
    }
  }
}

}  // namespace

std::vector<std::uint64_t> HashPromptBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  std::int64_t words = 0;
  std::size_t block_start = 0;
  std::uint64_t chain = 0;
  ForEachWordEnd(prompt, [&](std::size_t end) {
    if (++words % kTokensPerBlock == 0) {
      chain = HashText(prompt.substr(block_start, end - block_start), chain);
      blocks.push_back(chain);
      block_start = end;
    }
  });
  return blocks;
}

std::int64_t CountPromptTokens(std::string_view prompt) {
  std::int64_t words = 0;
  ForEachWordEnd(prompt, [&](std::size_t) { ++words; });
  return words;
}

}  // namespace toucanhollow
