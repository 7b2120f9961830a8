// Numbers that identify the requests of a host among each other.
#ifndef RELAY_REQUEST_NUMBER_H_
#define RELAY_REQUEST_NUMBER_H_

#include <cstdint>

namespace toucanhollow {

// Returns the number of the `request`th request of a session. Unique for fewer
// than 2^32 sessions with fewer than 2^32 requests each.
constexpr std::uint64_t RequestNumber(std::uint64_t session,
                                      std::uint64_t request) {
  constexpr int kRequestBits = 32;
  return (session << kRequestBits) + request;
}

}  // namespace toucanhollow

#endif  // RELAY_REQUEST_NUMBER_H_
