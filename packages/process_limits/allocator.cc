#include "process_limits/allocator.h"

#include <malloc.h>

namespace toucanhollow {
namespace {

// Larger blocks are mapped one by one. Setting the threshold also keeps the
// allocator from raising it.
constexpr int kMappedBlockBytes = 128 * 1024;

}  // namespace

void ReturnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

}  // namespace toucanhollow
