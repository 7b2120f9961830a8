// The state of one request at the entry host that accepted it.
#ifndef REQUEST_REQUEST_STATE_H_
#define REQUEST_REQUEST_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/result.h"
#include "base/time.h"

namespace toucanhollow {

// Maximum attempts of one request, the first included, without those that were
// refused by a full endpoint. Bounds the round trips of a request that every
// endpoint refuses.
constexpr int kMaxAttempts = 4;

// The end of the answer of an attempt.
struct AnswerEnd {
  std::uint64_t count = 0;
  int status = 200;
  std::string content_type;
  std::string finish_reason;

  bool operator==(const AnswerEnd&) const = default;
};

// One dispatch that has not ended yet.
struct Attempt {
  DispatchId dispatch_id;
  EndpointName endpoint;
  Incarnation incarnation;
  bool hedge = false;
  // Pieces that arrived before an earlier one, by index.
  std::map<std::uint64_t, std::string> buffered_pieces;
  std::optional<AnswerEnd> end;

  bool operator==(const Attempt&) const = default;
};

struct RequestState {
  RequestId id;
  bool repeatable = true;
  // A non-repeatable request with an idempotency key: its dispatches can be
  // voided.
  bool keyed = false;
  std::vector<Attempt> attempts;
  int attempts_started = 0;
  // Attempts refused because the endpoint was full. The request then waits for
  // a free slot until its deadline, as if it had not been sent.
  int full_refusals = 0;
  // The attempt whose pieces are delivered to the caller, set by its first
  // piece.
  std::optional<DispatchId> selected_attempt;
  // Number of pieces delivered, and their text, from which a new attempt
  // continues.
  std::uint64_t delivered = 0;
  std::string delivered_text;
  // An attempt that ended without an answer may have run.
  bool may_have_run = false;
  // A dispatch whose void record in the log is not settled yet.
  std::optional<DispatchId> pending_void;
  std::optional<Failure> last_failure;
  bool ended = false;

  bool operator==(const RequestState&) const = default;
};

}  // namespace toucanhollow

#endif  // REQUEST_REQUEST_STATE_H_
