#include "relay/quarantine_rewrite.h"

#include "base/hash.h"

namespace toucanhollow {
namespace {

// Hosts derive the end of one quarantine from messages and clocks of their own;
// the ends of two convictions differ by kFirstTerm at least.
constexpr Duration kMaxEndDifference = Seconds(60);
static_assert(kMaxEndDifference < kFirstTerm);

Duration Spread(std::string_view host, StoreEra era, Duration span) {
  const std::uint64_t draw =
      HashText(host, static_cast<std::uint64_t>(era.value));
  return Duration(static_cast<Duration::rep>(
      draw % static_cast<std::uint64_t>(span.count())));
}

bool IsOutdated(const QuarantineRecord& stored,
                const QuarantineRecord& in_force) {
  return stored.term < in_force.term ||
         stored.until + kMaxEndDifference < in_force.until ||
         (stored.account != in_force.account &&
          in_force.account == kSeveralAccounts);
}

}  // namespace

Duration OwnCheckDelay(std::string_view host, StoreEra era) {
  return kOwnCheckDelay + Spread(host, era, kOwnCheckSpread);
}

Duration OtherCheckDelay(std::string_view host, StoreEra era) {
  return kOtherCheckDelay + Spread(host, era, kOtherCheckSpread);
}

std::vector<QuarantineRecord> FindLostRecords(
    const std::vector<QuarantineRecord>& in_force,
    const std::map<std::string, QuarantineRecord>& stored) {
  std::vector<QuarantineRecord> lost;
  for (const QuarantineRecord& record : in_force) {
    const auto found =
        stored.find(QuarantineKey(IdentifyParts(record.service, record.parts)));
    if (found == stored.end() || IsOutdated(found->second, record)) {
      lost.push_back(record);
    }
  }
  return lost;
}

}  // namespace toucanhollow
