#include "quarantine/isolation_ledger.h"

namespace toucanhollow {

bool IsIsolationFree(const IsolationLedger& ledger,
                     std::uint32_t server,
                     TimePoint now) {
  const auto found = ledger.by_server.find(server);
  return found == ledger.by_server.end() || found->second.until <= now;
}

void BeginIsolation(IsolationLedger& ledger,
                    std::uint32_t server,
                    const IsolationHolder& holder,
                    TimePoint now) {
  std::erase_if(ledger.by_server,
                [now](const auto& entry) { return entry.second.until <= now; });
  ledger.by_server.insert_or_assign(server,
                                    Isolation{holder, now + kIsolationTimeout});
}

void EndIsolation(IsolationLedger& ledger, const IsolationHolder& holder) {
  std::erase_if(ledger.by_server, [&holder](const auto& entry) {
    return entry.second.holder == holder;
  });
}

}  // namespace toucanhollow
