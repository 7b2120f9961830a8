// The memory allocator of this process.
#ifndef PROCESS_LIMITS_ALLOCATOR_H_
#define PROCESS_LIMITS_ALLOCATOR_H_

namespace toucanhollow {

// Makes the allocator return large blocks to the system as soon as they are
// freed. By default it keeps them for later blocks of up to 32 MB. To be called
// before large blocks are allocated.
void ReturnLargeBlocks();

}  // namespace toucanhollow

#endif  // PROCESS_LIMITS_ALLOCATOR_H_
