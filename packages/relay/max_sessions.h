// The number of callers that a process can serve at once.
#ifndef RELAY_MAX_SESSIONS_H_
#define RELAY_MAX_SESSIONS_H_

#include <cstddef>

namespace toucanhollow {

// `descriptors` is the number that the process may open.
std::size_t MaxSessions(std::size_t descriptors);

}  // namespace toucanhollow

#endif  // RELAY_MAX_SESSIONS_H_
