// The bytes that a relay holds for its callers and servers, by kind.
#ifndef RELAY_HELD_MEMORY_H_
#define RELAY_HELD_MEMORY_H_

#include <cstddef>

namespace toucanhollow {

struct HeldMemory {
  // Parts of requests that are being read, and requests read behind them.
  std::size_t input = 0;
  // Bodies of requests that have arrived.
  std::size_t bodies = 0;
  // Requests that the kernel has not accepted for a server yet.
  std::size_t to_servers = 0;
  // Responses, or parts of them, that are not passed on yet.
  std::size_t answers = 0;
  // Responses that the kernel has not accepted for their callers yet.
  std::size_t to_callers = 0;
  // Bytes in the kernel that the process has not read.
  std::size_t unread = 0;

  bool operator==(const HeldMemory&) const = default;
};

constexpr HeldMemory operator+(const HeldMemory& left,
                               const HeldMemory& right) {
  return {left.input + right.input,           left.bodies + right.bodies,
          left.to_servers + right.to_servers, left.answers + right.answers,
          left.to_callers + right.to_callers, left.unread + right.unread};
}

}  // namespace toucanhollow

#endif  // RELAY_HELD_MEMORY_H_
