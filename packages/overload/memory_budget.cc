#include "overload/memory_budget.h"

#include <algorithm>
#include <numeric>

#include "base/check.h"

namespace toucanhollow {
namespace {

// The program, its libraries, its view of the platform, and what the allocator
// keeps. With a low limit, half of it.
constexpr std::size_t kProcessBytes = std::size_t{48} * 1024 * 1024;
// The percentage of the capacity that each use may fill, by MemoryUse.
constexpr std::array<std::size_t, kMemoryUseCount> kMaxPercent = {100, 70, 60,
                                                                  50, 25};

std::size_t Index(MemoryUse use) {
  return static_cast<std::size_t>(use);
}

}  // namespace

MemoryBudget MakeMemoryBudget(std::size_t limit) {
  return {limit - std::min(kProcessBytes, limit / 2), {}};
}

std::size_t MaxBytes(const MemoryBudget& budget, MemoryUse use) {
  constexpr std::size_t kWholePercent = 100;
  return budget.capacity * kMaxPercent.at(Index(use)) / kWholePercent;
}

std::size_t FreeBytes(const MemoryBudget& budget, MemoryUse use) {
  const std::size_t held =
      std::accumulate(budget.held.begin(), budget.held.end(), std::size_t{0});
  const std::size_t most = MaxBytes(budget, use);
  return most - std::min(most, held);
}

MemoryBudget Hold(const MemoryBudget& budget,
                  MemoryUse use,
                  std::size_t bytes) {
  MemoryBudget next = budget;
  next.held.at(Index(use)) += bytes;
  return next;
}

MemoryBudget Release(const MemoryBudget& budget,
                     MemoryUse use,
                     std::size_t bytes) {
  MemoryBudget next = budget;
  InternalCheck(bytes <= next.held.at(Index(use)),
                "only bytes that are held are released");
  next.held.at(Index(use)) -= bytes;
  return next;
}

}  // namespace toucanhollow
