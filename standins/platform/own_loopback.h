// Loopback addresses that no other process of the machine uses, for sockets
// whose ports must be known before they are bound.
#ifndef STANDINS_PLATFORM_OWN_LOOPBACK_H_
#define STANDINS_PLATFORM_OWN_LOOPBACK_H_

#include <unistd.h>

#include <cstdint>
#include <string>

#include "base/address.h"

namespace toucanhollow {

// A loopback address of this process alone: ports of other tests do not meet
// those of the program. `last` is the last number of the address.
inline std::string OwnLoopbackIp(int last = 9) {
  constexpr int kOctet = 200;
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / kOctet % kOctet) + "." +
         std::to_string(1 + pid % kOctet) + "." + std::to_string(last);
}

// An address on OwnLoopbackIp that was not returned before. The ports are below
// those that the system chooses for sockets, some of which are bound to all
// addresses. They begin at a number of the process's own, as some are bound on
// 127.0.0.1 too.
inline Address NextOwnAddress() {
  constexpr std::uint16_t kFirstPort = 12000;
  constexpr int kPortsPerProcess = 200;
  constexpr int kRanges = 100;
  static auto next_port = static_cast<std::uint16_t>(
      kFirstPort + getpid() % kRanges * kPortsPerProcess);
  return {OwnLoopbackIp(), next_port++};
}

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_OWN_LOOPBACK_H_
