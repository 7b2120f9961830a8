#include "process_limits/process_memory.h"

#include <string>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr std::size_t kBlockBytes = std::size_t{8} * 1024 * 1024;

TEST_CASE("memory in use is counted") {
  const ProcessMemory before = ReadProcessMemory();
  const std::string block(kBlockBytes, 'x');
  const ProcessMemory after = ReadProcessMemory();
  CHECK(before.resident > 0);
  CHECK(after.allocated >= before.allocated + block.size());
  CHECK(after.resident >= before.resident + block.size() / 2);
  CHECK(after.peak_resident >= after.resident);
}

}  // namespace
}  // namespace toucanhollow
