// The messages that toucanhollow processes exchange. Each is sent as one CBOR
// map in one frame of a link. Deadlines are sent as remaining time, because the
// clocks of hosts differ.
#ifndef WIRE_MESSAGE_H_
#define WIRE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/incarnation.h"
#include "base/log_entry.h"
#include "base/name.h"
#include "base/result_code.h"
#include "base/time.h"

namespace toucanhollow {

// Protocol versions that this program supports.
constexpr int kProtocolVersionMin = 1;
constexpr int kProtocolVersionMax = 1;

// The first message in each direction of a link.
struct Hello {
  int version_min = 0;
  int version_max = 0;
  ProcessName process;
  DataCentreName data_centre;
  // "entry_host" or "endpoint".
  std::string role;
  Incarnation incarnation;
  LogOffset config_offset = 0;
  // Set by an endpoint agent only.
  EndpointName endpoint;
  ServiceName service;
  // The key that both sides share, empty if none is set.
  std::string shared_key;

  bool operator==(const Hello&) const = default;
};

// Sent every second, and immediately when `leaving` changes.
struct Heartbeat {
  WallTime time;
  LogOffset config_offset = 0;
  bool leaving = false;
  // Admission summary, set by an endpoint agent only.
  int limit = 0;
  int full_limit = 0;
  int in_flight = 0;
  int queued = 0;
  int granted = 0;
  bool warm = false;
  bool takes_work = false;
  // Zero if unknown.
  Duration step_time{0};
  Duration mean_service{0};

  bool operator==(const Heartbeat&) const = default;
};

// Permits the receiver to send `count` dispatches until the grant expires.
struct Grant {
  int count = 0;
  Duration valid_for{0};

  bool operator==(const Grant&) const = default;
};

// One attempt of a request, from an entry host to an endpoint agent.
struct Dispatch {
  DispatchId dispatch_id;
  RequestId request_id;
  int attempt = 0;
  // Incarnation of the agent that the dispatch is for; an agent of another
  // incarnation refuses it.
  Incarnation receiver;
  AccountName account;
  ServiceName service;
  // For generation: the model that the group serves.
  std::string model;
  std::string method;
  std::string path;
  std::string content_type;
  // The body of a plain call, or the prompt for generation.
  std::string body;
  // For generation; zero means the engine's default.
  int max_tokens = 0;
  int priority = 0;
  // Remaining time until the caller's deadline; zero means none.
  Duration remaining{0};
  // The caller's idempotency key as sent, empty if none.
  std::string idempotency_key;
  bool repeatable = true;
  bool stream = false;
  // Number of tokens already delivered to the caller; the answer starts at this
  // index.
  std::uint64_t resume_index = 0;
  // The text of those tokens, for engines that resume from text.
  std::string resume_text;
  LogOffset config_offset = 0;

  bool operator==(const Dispatch&) const = default;
};

// The agent has accepted the dispatch and passes it to the engine or service.
struct Accepted {
  DispatchId dispatch_id;

  bool operator==(const Accepted&) const = default;
};

// One piece of an answer: a generated token or a part of a plain body.
struct Token {
  DispatchId dispatch_id;
  std::uint64_t index = 0;
  std::string text;

  bool operator==(const Token&) const = default;
};

// The answer is complete once all tokens with an index below `count` have been
// received.
struct Done {
  DispatchId dispatch_id;
  std::uint64_t count = 0;
  // HTTP status that the endpoint returned.
  int status = 200;
  std::string content_type;
  // Why generation ended: "stop" or "length".
  std::string finish_reason;

  bool operator==(const Done&) const = default;
};

// The attempt ended without an answer. `not_run` is true if it has not run and
// never will.
struct Refused {
  DispatchId dispatch_id;
  ResultCode code = ResultCode::kNoEndpointAvailable;
  bool not_run = true;
  std::string detail;

  bool operator==(const Refused&) const = default;
};

// The attempt may have run; nothing more is known about it.
struct OutcomeUnknown {
  DispatchId dispatch_id;
  ResultCode code = ResultCode::kOutcomeUnknown;
  std::string detail;

  bool operator==(const OutcomeUnknown&) const = default;
};

struct Cancel {
  DispatchId dispatch_id;

  bool operator==(const Cancel&) const = default;
};

// Asks a peer for a snapshot of the configuration.
struct SnapshotRequest {
  // The offset up to which the sender has the configuration.
  LogOffset config_offset = 0;

  bool operator==(const SnapshotRequest&) const = default;
};

// The configuration up to `as_of`, encoded by the config package.
struct Snapshot {
  LogOffset as_of = 0;
  std::string text;

  bool operator==(const Snapshot&) const = default;
};

// Cache events in the form in which the engine published them.
struct CacheNotice {
  EndpointName endpoint;
  std::string events;

  bool operator==(const CacheNotice&) const = default;
};

using Message = std::variant<Hello,
                             Heartbeat,
                             Grant,
                             Dispatch,
                             Accepted,
                             Token,
                             Done,
                             Refused,
                             OutcomeUnknown,
                             Cancel,
                             SnapshotRequest,
                             Snapshot,
                             CacheNotice>;

}  // namespace toucanhollow

#endif  // WIRE_MESSAGE_H_
