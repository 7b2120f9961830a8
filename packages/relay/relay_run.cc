#include "relay/relay_run.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "http_stream/write_message.h"
#include "json_log/json_log.h"
#include "relay/run_log.h"
#include "relay/server_request.h"
#include "traffic/check_caller.h"
#include "traffic/find_route.h"

namespace toucanhollow {
namespace {

// Placements of one request, connections that failed included.
constexpr int kMaxPlacements = 5;
// Larger answers are passed on in pieces instead of being held whole; those
// that are held can be replaced by another server's if they break off.
constexpr std::size_t kMaxBuffered = std::size_t{256} * 1024;
// Reading from the server stops while the caller has this much unread.
constexpr std::size_t kMaxUnsent = std::size_t{256} * 1024;
// A stream that has begun waits for another server this long; callers give up
// after a pause of 2 s.
constexpr Duration kResumeWait = Milliseconds(1500);
// Without this much time left, a server could not finish anything.
constexpr Duration kMinTimeLeft = Milliseconds(20);
// A refusal that has nothing to do with load.
constexpr Duration kShortRetryAfter = Milliseconds(500);
// A broken model group needs seconds to come back.
constexpr Duration kStandingRetryAfter = Seconds(5);
// Servers of a group that stands cut their work after 1.5 s. One that has not
// done so by then does not answer at all, and callers leave after 2 s.
constexpr Duration kSilenceOfStandingGroup = Milliseconds(1600);
constexpr int kLowestPriority = 9;
// The rest of an answer that is not passed on is read this far and this long,
// to keep its connection; then the connection is closed.
constexpr std::size_t kMaxDiscarded = std::size_t{64} * 1024;
constexpr Duration kDiscardTime = Milliseconds(250);

bool IsEventStream(const ResponseHead& head) {
  return FindHeader(head.headers, "Content-Type")
      .starts_with("text/event-stream");
}

}  // namespace

RelayRun::RelayRun(RelayContext context,
                   std::uint64_t number,
                   RequestHead head,
                   std::string body,
                   TimePoint arrived_at,
                   CallerSink sink)
    : context(context),
      number{std::to_string(number)},
      head(std::move(head)),
      body(std::move(body)),
      arrived_at(arrived_at),
      sink(std::move(sink)) {}

void RelayRun::Start() {
  const TimePoint now = EventLoop::Now();
  const Result<RequestFacts> read =
      this->context.codec.read_request(this->head.headers);
  if (!read) {
    this->Fail(400, read.error().detail);
    return;
  }
  this->facts = read.value();
  this->traffic = this->context.belief.traffic;
  const CallerCheck check =
      CheckCaller(this->traffic.get(), IsFresh(this->context.belief, now),
                  {FindHeader(this->head.headers, "Host"), this->head.target,
                   this->facts.account_key});
  this->route = check.route;
  this->account = check.account;
  switch (check.verdict) {
    case CallerVerdict::kServed:
      break;
    case CallerVerdict::kRefused:
      this->Refuse(503, check.why, kShortRetryAfter);
      return;
    case CallerVerdict::kNoRoute:
      this->Fail(404, check.why);
      return;
    case CallerVerdict::kUnknownKey:
      this->Fail(401, check.why);
      return;
  }
  this->service = ChooseService(*this->route, HashText(this->facts.request_id));
  Duration time_left = this->route->timeout;
  if (this->facts.deadline) {
    time_left = std::min(time_left, *this->facts.deadline);
  }
  this->deadline = this->arrived_at + time_left;
  this->returning = this->facts.deadline &&
                    IsReturning(this->context.patience, this->route->name,
                                *this->facts.deadline);
  this->deadline_timer = std::make_unique<Timer>(
      this->context.loop, std::max(this->deadline - now, Duration(0)),
      Duration(0), [this] {
        const auto keep = this->shared_from_this();
        this->OnDeadline();
      });
  this->context.dispatcher.NoteRequestFor(this->service);
  this->Place();
}

bool RelayRun::IsRepeatableHere() const {
  return IsRepeatable(*this->route);
}

void RelayRun::Place() {
  PlacementOrder order;
  order.request = this->number;
  order.service = this->service;
  if (this->account != nullptr) {
    order.account = this->account->name;
  }
  order.prompt_tokens = this->facts.prompt_tokens;
  const TimePoint now = EventLoop::Now();
  const Duration wait =
      this->begun ? kResumeWait
                  : WaitForRoom(this->returning, this->route->target_latency,
                                CallerPatience(this->route->target_latency,
                                               this->route->max_event_gap),
                                this->deadline - now);
  order.wait_until = std::min(now + wait, this->deadline - kMinTimeLeft);
  order.deadline = this->deadline;
  order.urgent = this->returning || this->begun;
  order.tried = this->tried;
  ++this->placements;
  this->waiting = true;
  const auto self = this->weak_from_this();
  this->context.dispatcher.Place(
      std::move(order), {[self](const std::shared_ptr<ServerPool>& placed) {
                           if (const auto run = self.lock()) {
                             run->Send(placed);
                           }
                         },
                         [self](ResultCode code, Duration retry_after) {
                           if (const auto run = self.lock()) {
                             run->waiting = false;
                             if (run->begun) {
                               run->Fail(502, "no room to resume the stream");
                             } else if (run->maybe_ran) {
                               run->Fail(502, "no room to try again");
                             } else {
                               run->Refuse(503, DescribeResultCode(code).name,
                                           retry_after);
                             }
                           }
                         }});
}

ServerRequestFacts RelayRun::FactsFor(const ServerPool& pool,
                                      TimePoint now) const {
  ServerRequestFacts facts;
  facts.server_id = pool.server().id;
  facts.deadline = this->deadline - now;
  int priority = this->route->priority;
  if (this->account != nullptr) {
    facts.account = this->account->name;
    priority = this->account->priority.value_or(priority);
  }
  facts.resume_after =
      this->begun ? this->events.last_id : this->facts.last_event_id;
  facts.priority = std::clamp(priority, 0, kLowestPriority);
  return facts;
}

void RelayRun::Send(const std::shared_ptr<ServerPool>& placed) {
  const TimePoint now = EventLoop::Now();
  this->waiting = false;
  this->pool = placed;
  this->unread_tokens = this->facts.prompt_tokens;
  this->tried.insert(placed->server().id);
  this->mode = AnswerMode::kUndecided;
  this->heard_at = now;
  ++this->sends;
  // A server may close a kept connection just as a request arrives, and then
  // nobody knows whether it ran; only repeatable requests take that chance.
  std::unique_ptr<TcpConnection> connection;
  if (this->IsRepeatableHere()) {
    connection = placed->TakeKept(now);
  }
  const bool kept = connection != nullptr;
  if (!kept) {
    connection = std::make_unique<TcpConnection>(this->context.loop,
                                                 placed->server().address);
    this->context.metrics.Count("server_connections_total");
  }
  LogSent({this->facts.request_id, this->route->name, placed->server().id,
           this->sends, now - this->arrived_at, this->deadline - now,
           placed->outstanding, kept, this->traffic->version});
  RelayRun* raw = this;
  this->attempt = std::make_unique<ServerAttempt>(
      std::move(connection), kept, this->context.codec,
      WriteServerRequest(this->context.codec, this->head, this->body,
                         this->FactsFor(*placed, now)),
      this->facts.request_id, this->head.method != "HEAD",
      AttemptCallbacks{
          [raw](const ResponseHead& answer, const ResponseFacts& facts) {
            const auto keep = raw->shared_from_this();
            raw->OnHead(answer, facts);
          },
          [raw](const std::string& bytes) {
            const auto keep = raw->shared_from_this();
            raw->OnBody(bytes);
          },
          [raw](AttemptEnd end, std::string_view detail) {
            const auto keep = raw->shared_from_this();
            raw->OnEnd(end, detail);
          }});
}

void RelayRun::OnHead(const ResponseHead& answer, const ResponseFacts& facts) {
  this->answer = answer;
  this->answer_not_run = facts.not_run;
  this->heard_at = EventLoop::Now();
  this->discarding_since = this->heard_at;
  this->discarded_bytes = 0;
  if (this->pool != nullptr && this->unread_tokens > 0) {
    this->pool->unread_tokens -= std::exchange(this->unread_tokens, 0);
  }
  if (facts.not_run) {
    this->mode = AnswerMode::kDiscard;
    return;
  }
  this->maybe_ran = true;
  const bool success = answer.status >= 200 && answer.status < 300;
  if (this->begun && !success) {
    // The caller already has a part of a success.
    this->mode = AnswerMode::kDiscard;
    return;
  }
  if (answer.status >= 500 && this->MayTryElsewhere(true) &&
      this->IsRepeatableHere()) {
    this->mode = AnswerMode::kDiscard;
    return;
  }
  if (success && this->route->kind == RouteKind::kStream &&
      IsEventStream(answer)) {
    this->mode = AnswerMode::kEvents;
  } else {
    this->mode = AnswerMode::kBuffer;
  }
}

void RelayRun::OnBody(const std::string& bytes) {
  const TimePoint now = EventLoop::Now();
  switch (this->mode) {
    case AnswerMode::kUndecided:
      return;
    case AnswerMode::kDiscard:
      this->discarded_bytes += bytes.size();
      if (this->discarded_bytes > kMaxDiscarded) {
        this->LeaveDiscarded("an answer that is not passed on is too long");
      }
      return;
    case AnswerMode::kBuffer:
      this->heard_at = now;
      this->buffered += bytes;
      if (this->buffered.size() > kMaxBuffered) {
        this->mode = AnswerMode::kRaw;
        this->PassOn(std::exchange(this->buffered, {}));
      }
      return;
    case AnswerMode::kEvents: {
      const auto last_id = this->events.last_id;
      this->PassOn(SplitEvents(this->events, bytes));
      if (this->events.last_id != last_id) {
        this->heard_at = now;
      }
      if (this->events.broken_order || this->events.too_large) {
        this->attempt.reset();
        this->OnEnd(AttemptEnd::kTruncated, this->events.too_large
                                                ? "an event is too long"
                                                : "an event is missing");
      }
      return;
    }
    case AnswerMode::kRaw:
      this->heard_at = now;
      this->PassOn(bytes);
      return;
  }
}

void RelayRun::LeaveDiscarded(std::string_view why) {
  // What the head says of the request holds without the rest.
  const bool not_run = this->answer_not_run;
  this->attempt.reset();
  this->OnEnd(AttemptEnd::kTruncated, why, not_run);
}

void RelayRun::Sweep(TimePoint now) {
  if (this->attempt != nullptr && this->mode == AnswerMode::kDiscard &&
      now - this->discarding_since > kDiscardTime) {
    this->LeaveDiscarded("an answer that is not passed on does not end");
    return;
  }
  this->EndIfGroupStands(now);
}

void RelayRun::PassOn(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (!std::exchange(this->begun, true)) {
    this->first_byte_at = EventLoop::Now();
    this->sink.begin(this->answer.status, this->answer.reason,
                     this->context.codec.caller_headers(
                         RemoveHopByHopHeaders(this->answer.headers)));
  }
  this->sink.piece(bytes);
  if (this->attempt != nullptr && this->sink.unsent() > kMaxUnsent) {
    this->attempt->SetReading(false);
  }
}

void RelayRun::EndIfGroupStands(TimePoint now) {
  if (this->attempt == nullptr ||
      now - this->heard_at < kSilenceOfStandingGroup ||
      !this->context.dispatcher.MakesNoPasses(*this->pool, now)) {
    return;
  }
  this->maybe_ran = this->maybe_ran || this->attempt->any_sent();
  this->attempt.reset();
  this->pool->health = RecordFailure(this->pool->health, now);
  this->ReleaseServer();
  this->Fail(502, "the model group stands and the server is silent");
}

void RelayRun::OnCallerDrained() {
  if (this->attempt != nullptr) {
    this->attempt->SetReading(true);
  }
}

void RelayRun::ReleaseServer() {
  if (this->pool != nullptr) {
    this->context.dispatcher.Release(*this->pool,
                                     std::exchange(this->unread_tokens, 0));
    this->pool.reset();
  }
}

void RelayRun::OnEnd(AttemptEnd end,
                     std::string_view detail,
                     bool said_not_run) {
  const TimePoint now = EventLoop::Now();
  const std::shared_ptr<ServerPool> server = this->pool;
  if (end == AttemptEnd::kComplete) {
    if (auto connection = this->attempt->TakeConnection()) {
      server->Keep(std::move(connection), this->attempt->server_keep_time(),
                   now);
    }
    const bool failed = this->answer.status >= 500 || this->answer_not_run;
    server->health = failed ? RecordFailure(server->health, now)
                            : RecordSuccess(server->health);
    if (this->answer.status == 421) {
      server->misdirected = true;
    }
  } else {
    server->health = RecordFailure(server->health, now);
    if (end != AttemptEnd::kNotSent && !said_not_run) {
      this->maybe_ran = true;
    }
  }
  this->attempt.reset();
  this->ReleaseServer();
  if (end == AttemptEnd::kComplete && this->mode != AnswerMode::kDiscard) {
    this->OnComplete();
    return;
  }
  LogAttemptFailed({this->facts.request_id, server->server().id, this->sends,
                    end, this->answer.status, this->answer_not_run, detail});
  const bool not_run = end == AttemptEnd::kNotSent || said_not_run ||
                       (end == AttemptEnd::kComplete && this->answer_not_run);
  this->buffered.clear();
  DropPartialEvent(this->events);
  const bool may_repeat =
      not_run || (this->IsRepeatableHere() && this->mode != AnswerMode::kRaw);
  if (may_repeat && this->TryElsewhere(end != AttemptEnd::kNotSent, detail)) {
    return;
  }
  if (this->begun || this->maybe_ran) {
    this->Fail(502, detail);
  } else {
    const bool standing = this->context.dispatcher.IsStanding(this->service);
    this->Refuse(503, "servers did not run it",
                 ReturnAfter(standing ? kStandingRetryAfter : kShortRetryAfter,
                             this->deadline - now));
  }
}

void RelayRun::OnComplete() {
  const TimePoint now = EventLoop::Now();
  if (this->mode == AnswerMode::kEvents) {
    // The rest of the server's body, if it does not end with a whole event.
    this->PassOn(std::exchange(this->events.partial, {}));
  }
  if (this->mode == AnswerMode::kBuffer ||
      (this->mode == AnswerMode::kEvents && !this->begun)) {
    this->first_byte_at = now;
    HttpHeaders headers = this->context.codec.caller_headers(
        RemoveHopByHopHeaders(this->answer.headers));
    const auto keep = this->shared_from_this();
    this->Finish("answered", this->answer.status, "");
    this->sink.answer(this->answer.status, this->answer.reason,
                      std::move(headers), std::move(this->buffered));
    return;
  }
  this->Finish("answered", this->answer.status, "");
  this->sink.end();
}

bool RelayRun::MayTryElsewhere(bool was_sent) const {
  return (!was_sent || this->sends < this->route->max_attempts) &&
         this->placements<kMaxPlacements&& this->deadline - EventLoop::Now()>
             kMinTimeLeft &&
         (!this->begun || this->events.last_id.has_value());
}

bool RelayRun::TryElsewhere(bool was_sent, std::string_view why) {
  if (!was_sent) {
    --this->sends;
  }
  if (!this->MayTryElsewhere(was_sent)) {
    return false;
  }
  if (was_sent && !this->context.dispatcher.SpendRetryFor(this->service)) {
    LogJsonNow(
        "retry_denied",
        {{"request", std::string_view(this->facts.request_id)}, {"why", why}});
    return false;
  }
  this->context.metrics.Count("retries_total");
  this->answer_not_run = false;
  this->Place();
  return true;
}

void RelayRun::OnDeadline() {
  if (this->finished) {
    return;
  }
  if (this->attempt != nullptr) {
    this->maybe_ran = this->maybe_ran || this->attempt->any_sent();
    this->attempt.reset();
  }
  if (this->waiting) {
    this->context.dispatcher.Withdraw(this->number);
    this->waiting = false;
  }
  this->ReleaseServer();
  if (this->begun || this->maybe_ran) {
    this->Fail(504, "deadline");
  } else {
    this->Refuse(503, "deadline before it was sent", kShortRetryAfter);
  }
}

void RelayRun::Refuse(int status, std::string_view why, Duration retry_after) {
  HttpHeaders headers =
      this->context.codec.own_headers(this->facts.request_id, retry_after);
  this->Finish("refused", status, why);
  this->sink.answer(status, "", std::move(headers), "");
}

void RelayRun::Fail(int status, std::string_view why) {
  const bool begun = this->begun;
  HttpHeaders headers =
      this->context.codec.own_headers(this->facts.request_id, std::nullopt);
  this->Finish("failed", status, why);
  if (begun) {
    this->sink.abort();
  } else {
    this->sink.answer(status, "", std::move(headers), "");
  }
}

void RelayRun::Finish(std::string_view outcome,
                      int status,
                      std::string_view why) {
  this->finished = true;
  this->deadline_timer.reset();
  const TimePoint now = EventLoop::Now();
  this->context.metrics.Count(
      "requests_total", "outcome=\"" + std::string(outcome) + "\",status=\"" +
                            std::to_string(status) + "\"");
  if (outcome == "answered") {
    this->context.metrics.Observe("answer_ms",
                                  ToMilliseconds(now - this->arrived_at));
    this->context.metrics.Observe(
        "first_byte_ms",
        ToMilliseconds(this->first_byte_at - this->arrived_at));
  }
  EndedLine line;
  line.request = this->facts.request_id;
  if (this->route != nullptr) {
    line.route = this->route->name;
  }
  if (this->account != nullptr) {
    line.account = this->account->name.value;
  }
  line.outcome = outcome;
  line.status = status;
  line.why = why;
  line.returning = this->returning;
  line.attempts = this->sends;
  line.maybe_ran = this->maybe_ran;
  if (this->begun || outcome == "answered") {
    line.first_byte = this->first_byte_at - this->arrived_at;
  }
  line.took = now - this->arrived_at;
  LogEnded(line);
}

void RelayRun::Cancel(std::string_view reason) {
  if (std::exchange(this->finished, true)) {
    return;
  }
  this->deadline_timer.reset();
  this->attempt.reset();
  if (this->waiting) {
    this->context.dispatcher.Withdraw(this->number);
  }
  this->ReleaseServer();
  this->context.metrics.Count("requests_total", "outcome=\"cancelled\"");
  LogJsonNow("request_cancelled",
             {{"request", std::string_view(this->facts.request_id)},
              {"reason", reason},
              {"ms", ToMilliseconds(EventLoop::Now() - this->arrived_at)}});
}

}  // namespace toucanhollow
