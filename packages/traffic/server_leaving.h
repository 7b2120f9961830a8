// ServerLeaving: what a host believes of a server whose answers say that it
// leaves.
#ifndef TRAFFIC_SERVER_LEAVING_H_
#define TRAFFIC_SERVER_LEAVING_H_

#include <optional>

#include "base/time.h"

namespace toucanhollow {

// What the head of one answer says.
enum class LeavingField { kAbsent, kLeaves, kMalformed };

// A process that leaves does not stay after all, so the belief holds for the
// rest of the process: until the server starts anew, another one has its
// address, or its entry is removed from the list.
struct ServerLeaving {
  TimePoint stated_at;  // of the first answer

  bool operator==(const ServerLeaving&) const = default;
};

// The belief after an answer that arrives now. An answer without the statement
// does not end it: it may have been overtaken.
std::optional<ServerLeaving> RecordLeaving(
    const std::optional<ServerLeaving>& belief,
    LeavingField field,
    TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_SERVER_LEAVING_H_
