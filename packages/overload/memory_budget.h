// MemoryBudget: the bytes that a process may hold for its callers and servers.
#ifndef OVERLOAD_MEMORY_BUDGET_H_
#define OVERLOAD_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>

namespace toucanhollow {

// What the bytes are held for, the most important first. Each use may fill a
// smaller part of the budget than the one before it, so that it leaves room for
// those before it.
enum class MemoryUse {
  kConnection,
  kAnswer,
  kSmallBody,
  kLargeBody,
  // Large receive buffers of connections that stay open after their answer.
  kIdleBuffer
};
inline constexpr std::size_t kMemoryUseCount = 5;

struct MemoryBudget {
  std::size_t capacity = 0;
  // By MemoryUse.
  std::array<std::size_t, kMemoryUseCount> held{};

  bool operator==(const MemoryBudget&) const = default;
};

// The budget of a process that may use `limit` bytes in all.
MemoryBudget MakeMemoryBudget(std::size_t limit);

// The most bytes that one use could hold if there was no other.
std::size_t MaxBytes(const MemoryBudget& budget, MemoryUse use);

// The bytes that may be held for this use in addition to all that are held.
std::size_t FreeBytes(const MemoryBudget& budget, MemoryUse use);

MemoryBudget Hold(const MemoryBudget& budget, MemoryUse use, std::size_t bytes);

// Of bytes that were held.
MemoryBudget Release(const MemoryBudget& budget,
                     MemoryUse use,
                     std::size_t bytes);

}  // namespace toucanhollow

#endif  // OVERLOAD_MEMORY_BUDGET_H_
