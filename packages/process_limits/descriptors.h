// Limits of the process on its file descriptors.
#ifndef PROCESS_LIMITS_DESCRIPTORS_H_
#define PROCESS_LIMITS_DESCRIPTORS_H_

#include <cstddef>

namespace toucanhollow {

// Opens /dev/null as each of the descriptors 0 to 2 that is closed, so that no
// socket or file gets the number of standard output and receives log lines. To
// be called before anything else is opened.
void OpenStandardDescriptors();

// Raises the soft limit of open descriptors to `wanted`, or to the hard limit
// if that is lower. It is never lowered. Returns the soft limit in effect.
std::size_t RaiseDescriptorLimit(std::size_t wanted);

// Returns the soft limit of open descriptors.
std::size_t DescriptorLimit();

}  // namespace toucanhollow

#endif  // PROCESS_LIMITS_DESCRIPTORS_H_
