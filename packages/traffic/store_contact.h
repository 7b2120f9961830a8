// StoreContact: what the last reads of a topic of the platform's store tell
// about the store, and for how long a removal that is read after an outage is
// doubted.
#ifndef TRAFFIC_STORE_CONTACT_H_
#define TRAFFIC_STORE_CONTACT_H_

#include <optional>

#include "base/time.h"

namespace toucanhollow {

struct StoreContact {
  // Since when all reads have been answered; empty while they fail.
  std::optional<TimePoint> answering_since;
  // When the last read was sent that found the store unavailable: it was so
  // then or later.
  std::optional<TimePoint> unavailable_at;

  bool operator==(const StoreContact&) const = default;
};

enum class ReadFailure {
  // A connection that had carried answers broke or fell silent. That says
  // nothing about the store.
  kConnectionLost,
  // The store refused the read, or did not answer on a new connection.
  kStoreUnavailable,
};

StoreContact RecordAnswer(const StoreContact& contact, TimePoint now);
StoreContact RecordFailure(const StoreContact& contact,
                           ReadFailure failure,
                           TimePoint sent_at);
// The store came back from an older copy. It was away at some moment after it
// had last answered from the history before, and has answered again since now.
StoreContact RecordRestore(const StoreContact& contact,
                           TimePoint last_answer_at,
                           TimePoint now);

// After the store recovers, a running server whose entry expired meanwhile is
// listed again within about two seconds; the margin covers a late heartbeat.
inline constexpr Duration kReregistrationTime = Milliseconds(2500);

// A request may reach its server this long after the server was chosen: it
// waits for a permit and a connection.
inline constexpr Duration kSendMargin = Milliseconds(300);

// Until when a server is used whose removal is read now. The entry may have
// expired because the store was unavailable, so it may be listed again for
// kReregistrationTime after the first answer. `contact_bound` after the store
// was last unavailable the bounds apply to this host again, and the removal
// must be in force.
TimePoint FindRemovalTime(const StoreContact& contact,
                          Duration contact_bound,
                          TimePoint now);

// Until when a server is used that a restored list lacks: as by FindRemovalTime
// if this host knows of the restore from the store, otherwise for the whole
// time.
TimePoint FindServerHoldEnd(const StoreContact& contact,
                            Duration contact_bound,
                            TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_STORE_CONTACT_H_
