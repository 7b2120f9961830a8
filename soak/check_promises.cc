#include "soak/check_promises.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "event_loop/event_loop.h"
#include "http_message/http_message.h"
#include "soak/fault_log.h"

namespace toucanhollow {
namespace {

// Each fourth event holds three tokens.
constexpr std::int64_t EventId(int number) {
  return number + number / 4 * 2;
}

constexpr std::size_t kMaxAttempts = 2;
constexpr Duration kStall = Milliseconds(250);

std::string Header(const HttpHeaders& headers, std::string_view name) {
  return std::string(FindHeader(headers, name));
}

bool PromisesNoRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void Break(Ledger& ledger, const std::string& id, const std::string& what) {
  NoteBroken(ledger, "request " + id + ": " + what);
}

std::string WholeStream(const std::string& id) {
  std::string text;
  for (int number = 1; number <= kStreamEvents; ++number) {
    text += EventText(id, number);
  }
  return text;
}

// An answer has the seal of the last server that ran the request. A stream
// keeps that of the first server that began to answer, and one that ended
// before it answered may have run the request first.
bool IsSealOf(const SentRequest& request, const std::string& seal) {
  if (request.ran_at.empty()) {
    return false;
  }
  return request.kind == RequestKind::kStream
             ? std::ranges::find(request.ran_at, seal) != request.ran_at.end()
             : request.ran_at.back() == seal;
}

}  // namespace

void NoteTick(Ledger& ledger, TimePoint now) {
  if (ledger.ticked_at != TimePoint() && now - ledger.ticked_at > kStall) {
    ledger.stalled_at = now;
    ++ledger.stalls;
  }
  ledger.ticked_at = now;
}

void NoteBroken(Ledger& ledger, const std::string& what) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << WallSeconds() << " " << what;
  ledger.broken.push_back(text.str());
}

std::int64_t QueryNumber(std::string_view target, std::string_view name) {
  const std::string field = std::string(name) + "=";
  const std::size_t found = target.find(field);
  if (found == std::string_view::npos) {
    return 0;
  }
  const std::string_view value = target.substr(found + field.size());
  return ParseDecimal(value.substr(0, value.find('&'))).value_or(0);
}

std::string AnswerBody(const std::string& id, std::string_view target) {
  std::string body = "answer of " + id;
  const auto size = static_cast<std::size_t>(QueryNumber(target, "size"));
  body.append(size > body.size() ? size - body.size() : 0, 'a');
  return body;
}

std::string EventText(const std::string& id, int number) {
  return "id: " + std::to_string(EventId(number)) + "\ndata: " + id + "\n\n";
}

int NextEvent(std::int64_t last_id) {
  int number = 1;
  while (EventId(number) <= last_id) {
    ++number;
  }
  return number;
}

void NoteArrivalAfterLeaving(Ledger& ledger,
                             const std::string& server,
                             const std::string& id,
                             TimePoint left_at,
                             TimePoint now) {
  const auto found = ledger.requests.find(id);
  if (found == ledger.requests.end() || now <= left_at + kDrainBound) {
    return;
  }
  const SentRequest& request = found->second;
  const TimePoint disturbed_until = ledger.disturbed_until[request.host];
  if (request.sent_at <= disturbed_until + kContactBound) {
    ++ledger.allowed_late_arrivals;
    return;
  }
  Break(ledger, id,
        "reached " + server + " " +
            std::to_string(ToMilliseconds(now - left_at) / 1000) +
            " s after it left, through host " + std::to_string(request.host) +
            ", undisturbed for " +
            std::to_string(ToMilliseconds(now - disturbed_until) / 1000) +
            " s");
}

void NoteRun(Ledger& ledger,
             const std::string& server,
             const RequestHead& head,
             const std::string& body) {
  const std::string id = Header(head.headers, "X-Toucanhollow-Request-Id");
  const auto found = ledger.requests.find(id);
  if (found == ledger.requests.end()) {
    Break(ledger, id, "a server ran it, and no caller sent it");
    return;
  }
  SentRequest& request = found->second;
  if (head.target != request.target || body != request.body) {
    Break(ledger, id, "a server ran it with another target or body");
  }
  if (Header(head.headers, "X-Toucanhollow-Tenant-Id") != "acc" ||
      !Header(head.headers, "Authorization").empty()) {
    Break(ledger, id, "the server saw another account, or the key");
  }
  if (Header(head.headers, "X-Toucanhollow-Deadline-Ms").empty()) {
    Break(ledger, id, "the server got no deadline");
  }
  if (request.refused_with != 0) {
    Break(ledger, id,
          "ran after status " + std::to_string(request.refused_with));
  }
  request.ran_at.push_back(server);
  if (request.kind == RequestKind::kUnsafe && request.ran_at.size() > 1) {
    Break(ledger, id, "is not idempotent and ran twice");
  }
  if (request.ran_at.size() > kMaxAttempts) {
    Break(ledger, id, "ran on more servers than its route allows");
  }
}

void NoteAnswer(Ledger& ledger,
                const std::string& id,
                const ResponseHead& head,
                const std::string& body) {
  SentRequest& request = ledger.requests.at(id);
  const bool success = head.status >= 200 && head.status < 300;
  if (Header(head.headers, "X-Toucanhollow-Request-Id") != id) {
    Break(ledger, id, "got an answer with another id");
  }
  if (success) {
    ++ledger.answered;
    const std::string expected = request.kind == RequestKind::kStream
                                     ? WholeStream(id)
                                     : AnswerBody(id, request.target);
    if (body != expected) {
      constexpr std::size_t kMostShown = 500;
      Break(ledger, id, "got another body: " + body.substr(0, kMostShown));
    }
    const std::string seal =
        Header(head.headers, "X-Toucanhollow-Response-Seal");
    if (!IsSealOf(request, seal)) {
      Break(ledger, id, "has the seal \"" + seal + "\"");
    }
    return;
  }
  if (PromisesNoRun(head.status)) {
    ++ledger.refused;
    request.refused_with = head.status;
    if (request.kind == RequestKind::kUnsafe && !request.ran_at.empty()) {
      Break(ledger, id, "ran and got status " + std::to_string(head.status));
    }
    if (request.kind != RequestKind::kUnsafe) {
      // Idempotent requests may have run before they are refused.
      request.refused_with = 0;
    }
    return;
  }
  ++ledger.failed;
  if (head.status >= 300 && head.status < 500) {
    Break(ledger, id,
          "is proper and got status " + std::to_string(head.status));
  }
}

RequestEndKind NoteNoAnswer(Ledger& ledger,
                            const std::string& what,
                            RequestEnd end) {
  NoteTick(ledger, end.ended_at);
  end.soak_stalled_at = ledger.stalled_at;
  const RequestEndKind kind = ClassifyRequestEnd(end);
  ++ledger.ended[kind];
  if (kind != RequestEndKind::kNotConnected) {
    ++ledger.failed;
  }
  if (kind != RequestEndKind::kLost) {
    return kind;
  }
  std::ostringstream text;
  text << what << ": its connection ended without a complete answer "
       << ToMilliseconds(end.ended_at - end.sent_at) << " ms after it was sent";
  if (end.host_stopping_since) {
    text << " and " << ToMilliseconds(end.ended_at - *end.host_stopping_since)
         << " ms after the host was told to end";
  }
  text << (end.ran ? "; it had run" : "; no server had seen it")
       << (end.finished_at ? " to its end" : "")
       << (end.on_idle_connection ? "; on a kept connection" : "");
  NoteBroken(ledger, text.str());
  return kind;
}

void NoteGivenUp(Ledger& ledger,
                 const std::string& what,
                 TimePoint sent_at,
                 TimePoint host_disturbed_at) {
  NoteTick(ledger, EventLoop::Now());
  if (std::max(host_disturbed_at, ledger.stalled_at) < sent_at) {
    NoteBroken(ledger, what + ": no answer long after its timeout");
  }
}

}  // namespace toucanhollow
