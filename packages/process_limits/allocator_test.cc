#include "process_limits/allocator.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "process_limits/process_memory.h"

namespace toucanhollow {
namespace {

// Guards against freed request bodies that stay in the process below a block
// that is still in use.
TEST_CASE("large blocks are returned when they are freed") {
  constexpr std::size_t kBlocks = 16;
  constexpr std::size_t kBlockBytes = std::size_t{4} * 1024 * 1024;
  constexpr std::size_t kSmallBlocks = 20;
  ReturnLargeBlocks();
  const std::size_t before = ReadProcessMemory().resident;
  std::vector<std::string> small;
  for (int round = 0; round < 3; ++round) {
    std::vector<std::string> blocks;
    for (std::size_t i = 0; i < kBlocks; ++i) {
      blocks.emplace_back(kBlockBytes, 'x');
      small.insert(small.end(), kSmallBlocks, std::string(1000, 'y'));
    }
  }
  CHECK(ReadProcessMemory().resident < before + 2 * kBlockBytes);
}

}  // namespace
}  // namespace toucanhollow
