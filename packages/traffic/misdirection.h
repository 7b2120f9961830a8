// Decides what a server's refusal says about the server itself.
//
// A server answers 421 (Misdirected Request) if its address belonged to another
// server before, but also if another server, which it depends on, is at fault.
#ifndef TRAFFIC_MISDIRECTION_H_
#define TRAFFIC_MISDIRECTION_H_

#include <optional>
#include <string>

#include "traffic/known_server.h"

namespace toucanhollow {

// A 421 response that was not caused by another server: the server may have
// lost its address.
struct Misdirection {
  // Position of the server's entry in the list when the response arrived.
  StorePosition entry_position;
  TimePoint answered_at;

  bool operator==(const Misdirection&) const = default;
};

// A server whose entry is not renewed, for example because the store is
// unavailable, is tried again after this time.
inline constexpr Duration kMisdirectionTime = Seconds(5);

// True while requests to the server are taken to reach another one. A server
// that has lost its address has stopped and does not renew its entry.
bool IsMisdirected(const std::optional<Misdirection>& misdirection,
                   const KnownServer& server,
                   TimePoint now);

// True if the server with the id `at_fault`, which a refusal by `refusing`
// names, is another server than that to which the request was addressed. An id
// that is empty or unknown, or that has the same address, is not.
bool IsFaultElsewhere(const KnownServers& servers,
                      const ListedServer& refusing,
                      const std::string& at_fault);

}  // namespace toucanhollow

#endif  // TRAFFIC_MISDIRECTION_H_
