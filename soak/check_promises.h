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

struct SentRequest {
  RequestKind kind = RequestKind::kSafe;
  std::string target;
  std::string body;
  TimePoint sent_at;
  std::vector<std::string> ran_at;  // servers, in order
  int refused_with = 0;             // a status that promises it never runs
};

// What the soak knows of all requests, and the promises that were broken.
struct Ledger {
  std::map<std::string, SentRequest> requests;  // by id
  std::vector<std::string> broken;
  std::int64_t answered = 0;
  std::int64_t refused = 0;
  std::int64_t failed = 0;
};

// The body that a server gives for a request that is no stream.
std::string AnswerBody(const std::string& id);
std::string EventText(const std::string& id, int number);

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
