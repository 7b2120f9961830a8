// The messages by which an entry host asks an agent for a permit to send one
// request to a server on the agent's machine, and tells the end of an isolated
// request.
#ifndef PERMIT_PERMIT_MESSAGE_H_
#define PERMIT_PERMIT_MESSAGE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "traffic/permit_ledger.h"
#include "traffic/server_limit.h"

namespace toucanhollow {

enum class PermitPurpose {
  kRequest,
  // A request with parts that may crash the server; one at a time is granted.
  kIsolatedRequest,
  // The isolated request of this serial number has ended. It gets no reply.
  kEndIsolation,
};

struct PermitRequest {
  // Identifies the request among those of one socket; the reply repeats it.
  std::uint64_t serial = 0;
  // Hash of the server's id.
  std::uint32_t server = 0;
  // By the host's configuration. A rate and a burst of 0 set no bound.
  PermitRate rate;
  PermitPurpose purpose = PermitPurpose::kRequest;
  // Start of the server's process by the host's list, in Unix ms; 0 if the host
  // does not tell.
  std::int64_t start_time_ms = 0;
  // The latest statement on the server's limit that the host knows of.
  std::optional<AgedLimit> limit = std::nullopt;

  bool operator==(const PermitRequest&) const = default;
};

struct PermitReply {
  std::uint64_t serial = 0;
  bool granted = false;
  // If not granted: the time until a permit may be available.
  Duration wait{0};

  bool operator==(const PermitReply&) const = default;
};

}  // namespace toucanhollow

#endif  // PERMIT_PERMIT_MESSAGE_H_
