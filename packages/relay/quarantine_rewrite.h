// Decides which records of quarantines are written again after the platform's
// store came back from an older copy, when, and by which host.
//
// The store loses records that were written after the copy. All hosts notice
// within a second of each other, so the host whose test convicted the parts
// checks the store first, and the others only after a longer time, at moments
// that are spread by their names.
#ifndef RELAY_QUARANTINE_REWRITE_H_
#define RELAY_QUARANTINE_REWRITE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/store_position.h"
#include "base/time.h"
#include "relay/quarantine_record.h"

namespace toucanhollow {

// A quarantine that is in force at this host, as it belongs in the store.
struct QuarantineInForce {
  QuarantineRecord record;
  // A test of this host convicted the parts.
  bool is_own_test = false;

  bool operator==(const QuarantineInForce&) const = default;
};

// The host that made a test checks within this span after it saw the new era.
inline constexpr Duration kOwnCheckDelay = Milliseconds(500);
inline constexpr Duration kOwnCheckSpread = Milliseconds(1500);
// The other hosts check later, in case that host is gone.
inline constexpr Duration kOtherCheckDelay = Seconds(5);
inline constexpr Duration kOtherCheckSpread = Seconds(30);

// When the host checks the store after it saw the era.
Duration OwnCheckDelay(std::string_view host, StoreEra era);
Duration OtherCheckDelay(std::string_view host, StoreEra era);

// The records that the store must get again. `stored` holds its records by
// QuarantineKey. A stored record is outdated if it is of an earlier conviction
// or binds fewer accounts. What is not in force is never written: it has ended
// or was withdrawn.
std::vector<QuarantineRecord> FindLostRecords(
    const std::vector<QuarantineRecord>& in_force,
    const std::map<std::string, QuarantineRecord>& stored);

}  // namespace toucanhollow

#endif  // RELAY_QUARANTINE_REWRITE_H_
