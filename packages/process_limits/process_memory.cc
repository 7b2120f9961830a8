#include "process_limits/process_memory.h"

#include <malloc.h>

#include <fstream>
#include <sstream>
#include <string>

namespace toucanhollow {
namespace {

constexpr std::size_t kKibibyte = 1024;

}  // namespace

ProcessMemory ReadProcessMemory() {
  ProcessMemory memory;
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    std::istringstream fields(line);
    std::string name;
    std::size_t kibibytes = 0;
    fields >> name >> kibibytes;
    if (name == "VmRSS:") {
      memory.resident = kibibytes * kKibibyte;
    } else if (name == "VmHWM:") {
      memory.peak_resident = kibibytes * kKibibyte;
    }
  }
  const struct mallinfo2 heap = mallinfo2();
  memory.allocated = heap.uordblks + heap.hblkhd;
  memory.kept_free = heap.fordblks;
  return memory;
}

}  // namespace toucanhollow
