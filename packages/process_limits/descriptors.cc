#include "process_limits/descriptors.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <limits>

namespace toucanhollow {
namespace {

std::size_t ToCount(rlim_t limit) {
  return limit == RLIM_INFINITY ? std::numeric_limits<std::size_t>::max()
                                : static_cast<std::size_t>(limit);
}

}  // namespace

void OpenStandardDescriptors() {
  for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO;
       ++descriptor) {
    if (fcntl(descriptor, F_GETFD) < 0 && errno == EBADF) {
      // open() returns the lowest free number, which is this one.
      [[maybe_unused]] const int opened = open("/dev/null", O_RDWR);
    }
  }
}

std::size_t RaiseDescriptorLimit(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
      ToCount(limit.rlim_cur) < wanted) {
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, wanted);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  return DescriptorLimit();
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  return ToCount(limit.rlim_cur);
}

}  // namespace toucanhollow
