// Chooses the server that isolated requests are sent to.
#ifndef QUARANTINE_CHOOSE_CANARY_H_
#define QUARANTINE_CHOOSE_CANARY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quarantine/prompt_part.h"
#include "quarantine/quarantine_state.h"

namespace toucanhollow {

struct CanaryCandidate {
  std::string server;  // id
  // Name of the server's model group; empty if it has none or it is not known.
  std::string group;
  std::uint32_t address = 0;  // hash, as in ServerIncarnation
  // False while the server takes no more requests of this host.
  bool available = true;

  bool operator==(const CanaryCandidate&) const = default;
};

// The same server for the same part at all hosts that know the same servers, so
// that its agent sees all requests that test the part. All parts of a service
// are tested in one model group, because a crash halts the whole group. Servers
// that crashed for whatever reason are passed over if there are others: a
// crash that is due to another cause would convict a sound part. Returns an
// index, or nothing if the chosen server is not available.
std::optional<std::size_t> ChooseCanary(
    const std::vector<CanaryCandidate>& candidates,
    PartId part,
    const QuarantineState& state);

}  // namespace toucanhollow

#endif  // QUARANTINE_CHOOSE_CANARY_H_
