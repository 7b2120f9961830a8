// IsolationLedger: the isolated requests that the agent of a server has let
// pass.
//
// At most one isolated request is at a server at a time, from all hosts
// together, so that a crash tells which one caused it.
#ifndef QUARANTINE_ISOLATION_LEDGER_H_
#define QUARANTINE_ISOLATION_LEDGER_H_

#include <cstdint>
#include <map>

#include "base/address.h"
#include "base/time.h"

namespace toucanhollow {

// An isolated request whose host does not tell its end has ended after this
// long: callers leave a stream after 2 s without an event.
inline constexpr Duration kIsolationTimeout = Milliseconds(2500);
// A host that is denied asks again after this long.
inline constexpr Duration kIsolationWait = Milliseconds(30);

// The request of a host that is in isolation.
struct IsolationHolder {
  Address host;
  std::uint64_t serial = 0;  // of the host's call

  bool operator==(const IsolationHolder&) const = default;
};

struct Isolation {
  IsolationHolder holder;
  TimePoint until;

  bool operator==(const Isolation&) const = default;
};

struct IsolationLedger {
  std::map<std::uint32_t, Isolation> by_server;  // hash of the server's id

  bool operator==(const IsolationLedger&) const = default;
};

// True if no request is in isolation at the server.
bool IsIsolationFree(const IsolationLedger& ledger,
                     std::uint32_t server,
                     TimePoint now);

void BeginIsolation(IsolationLedger& ledger,
                    std::uint32_t server,
                    const IsolationHolder& holder,
                    TimePoint now);

// Does nothing if the holder's isolation has ended.
void EndIsolation(IsolationLedger& ledger, const IsolationHolder& holder);

}  // namespace toucanhollow

#endif  // QUARANTINE_ISOLATION_LEDGER_H_
