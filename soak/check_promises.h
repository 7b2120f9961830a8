// The promises of the platform's pages, checked from what servers and callers
// see while the soak runs.
#ifndef SOAK_CHECK_PROMISES_H_
#define SOAK_CHECK_PROMISES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "http_stream/message_head.h"

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
  std::size_t host = 0;             // that it was sent to
  std::vector<std::string> ran_at;  // servers, in order
  int refused_with = 0;             // a status that promises it never runs
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
  std::int64_t refused = 0;
  std::int64_t failed = 0;
};

// The body that a server gives for a request that is no stream.
std::string AnswerBody(const std::string& id);
std::string EventText(const std::string& id, int number);

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

// A caller's connection ended, or it left, before a whole answer.
void NoteNoAnswer(Ledger& ledger);

}  // namespace toucanhollow

#endif  // SOAK_CHECK_PROMISES_H_
