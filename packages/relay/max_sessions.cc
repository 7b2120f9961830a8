#include "relay/max_sessions.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// File descriptors for other uses than callers: files, the store, peers. With a
// low limit, half of the descriptors.
constexpr std::size_t kReservedDescriptors = 260;
// One for the caller's connection and one for a connection to a server.
constexpr std::size_t kDescriptorsPerCaller = 2;

}  // namespace

std::size_t MaxSessions(std::size_t descriptors) {
  const std::size_t reserved = std::min(kReservedDescriptors, descriptors / 2);
  return (descriptors - reserved) / kDescriptorsPerCaller;
}

}  // namespace toucanhollow
