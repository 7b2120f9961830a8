// The promises of the platform's pages, checked from what servers and callers
// see while the soak runs.
#ifndef SOAK_CHECK_PROMISES_H_
#define SOAK_CHECK_PROMISES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "http_stream/message_head.h"
#include "soak/check_loss.h"

namespace toucanhollow {

enum class RequestKind { kSafe, kUnsafe, kStream };

// Events of each stream.
inline constexpr int kStreamEvents = 12;

// The bounds of the platform, as the settings state them: on requests to a
// server that leaves, and after a disturbance until a host is in touch again.
inline constexpr Duration kDrainBound = Seconds(2);
inline constexpr Duration kContactBound = Seconds(3);

struct SentRequest {
  RequestKind kind = RequestKind::kSafe;
  std::string target;
  std::string body;
  TimePoint sent_at;
  Duration timeout{0};
  std::size_t host = 0;             // that it was sent to
  std::vector<std::string> ran_at;  // servers, in order
  int refused_with = 0;             // a status that promises it never runs
  // When a server had sent its whole answer.
  std::optional<TimePoint> finished_at;
  // One broke off by the soak's doing.
  bool server_broke = false;
};

// What the soak knows of all requests, and the promises that were broken.
struct Ledger {
  std::map<std::string, SentRequest> requests;  // by id
  std::vector<std::string> broken;
  // Until when each host or its path to the store was last disturbed.
  std::map<std::size_t, TimePoint> disturbed_until;
  // Servers that left while the store and their links were stable, and late
  // requests to them which a disturbance of the host allows.
  std::int64_t checked_leavings = 0;
  std::int64_t allowed_late_arrivals = 0;
  std::int64_t answered = 0;
  // Answers to callers that had shut their sending side down.
  std::int64_t answered_half_closed = 0;
  std::int64_t refused = 0;
  std::int64_t failed = 0;
  // When the soak itself last ran, and last stood still for so long that
  // requests may have ended by that, as on a machine with too much work.
  TimePoint ticked_at;
  TimePoint stalled_at;
  // Between two ticks of late, and when it ended.
  Duration longest_pause{0};
  TimePoint longest_pause_at;
  std::int64_t stalls = 0;
  // Requests that ended without a complete answer.
  std::map<RequestEndKind, std::int64_t> ended;
};

// To be called periodically, and before each check of what took long.
void NoteTick(Ledger& ledger, TimePoint now);

// Adds a broken promise, with the time that the processes' logs have too.
void NoteBroken(Ledger& ledger, const std::string& what);

// The number after `name` and "=" in the query of a target; 0 without one.
std::int64_t QueryNumber(std::string_view target, std::string_view name);

// The body that a server gives for a request that is no stream. A target with
// "size" asks for so many bytes.
std::string AnswerBody(const std::string& id, std::string_view target);
std::string EventText(const std::string& id, int number);

// Number of the first event behind the one with this id. Ids jump, as an event
// may hold several tokens.
int NextEvent(std::int64_t last_id);

// A request arrives at a server whose leaving the store acknowledged at
// `left_at`, while it was stable.
void NoteArrivalAfterLeaving(Ledger& ledger,
                             const std::string& server,
                             const std::string& id,
                             TimePoint left_at,
                             TimePoint now);

// A server begins to run a request.
void NoteRun(Ledger& ledger,
             const std::string& server,
             const RequestHead& head,
             const std::string& body);

// A caller got a whole answer.
void NoteAnswer(Ledger& ledger,
                const std::string& id,
                const ResponseHead& head,
                const std::string& body);

// A caller's connection ended, or it left, before a whole answer. `what` names
// the request.
RequestEndKind NoteNoAnswer(Ledger& ledger,
                            const std::string& what,
                            RequestEnd end);

// A caller waited for an answer until long after the timeout.
void NoteGivenUp(Ledger& ledger,
                 const std::string& what,
                 TimePoint sent_at,
                 TimePoint host_disturbed_at);

}  // namespace toucanhollow

#endif  // SOAK_CHECK_PROMISES_H_
