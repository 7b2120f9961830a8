// Memory of this process, as the kernel and the allocator count it.
#ifndef PROCESS_LIMITS_PROCESS_MEMORY_H_
#define PROCESS_LIMITS_PROCESS_MEMORY_H_

#include <cstddef>

namespace toucanhollow {

// In bytes; 0 where the system does not tell.
struct ProcessMemory {
  std::size_t resident = 0;
  std::size_t peak_resident = 0;
  // Blocks in use, and freed memory that the allocator has kept.
  std::size_t allocated = 0;
  std::size_t kept_free = 0;

  bool operator==(const ProcessMemory&) const = default;
};

ProcessMemory ReadProcessMemory();

}  // namespace toucanhollow

#endif  // PROCESS_LIMITS_PROCESS_MEMORY_H_
