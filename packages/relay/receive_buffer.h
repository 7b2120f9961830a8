// The receive buffer of a relay's connections.
#ifndef RELAY_RECEIVE_BUFFER_H_
#define RELAY_RECEIVE_BUFFER_H_

#include <cstddef>

namespace toucanhollow {

// Bytes of a connection to a caller or a server. The kernel takes as much again
// for its bookkeeping, and unread bytes may fill both.
inline constexpr std::size_t kReceiveBufferBytes = std::size_t{8} * 1024;

}  // namespace toucanhollow

#endif  // RELAY_RECEIVE_BUFFER_H_
