#include "relay/relayed_request.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "http_stream/write_message.h"
#include "json_log/json_log.h"
#include "relay/receive_buffer.h"
#include "relay/request_log.h"
#include "relay/server_request.h"
#include "traffic/check_caller.h"
#include "traffic/find_route.h"

namespace toucanhollow {
namespace {

// Placements of one request, including those whose connection failed.
constexpr int kMaxPlacements = 5;
// Larger responses are forwarded as they come. A response that is still
// buffered can be replaced by another server's if it breaks off.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
// Reading from the server stops while more than this is queued for the caller.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;
// Longest wait for another server after a stream broke off. Callers give up
// after 2 s without an event.
constexpr Duration kResumeWait = Milliseconds(1500);
// With less time left, no server could finish the request.
constexpr Duration kMinTimeLeft = Milliseconds(20);
// Retry-After time of refusals that are not caused by load.
constexpr Duration kShortRetryAfter = Milliseconds(500);
// Retry-After time of a stopping host: others serve the caller at once.
constexpr Duration kStopRetryAfter{0};
// Retry-After time while the service is halted: a model group that broke needs
// seconds to form again.
constexpr Duration kHaltedRetryAfter = Seconds(5);
// Servers of a closed group abort their requests after 1.5 s, and callers give
// up after 2 s or later. The silence ends a request at this part of the time
// that its caller waits.
constexpr double kSilenceLimitFraction = 0.8;
// A request that was sent just now is not silent yet, however long its caller
// has been waiting.
constexpr Duration kMinSilence = Milliseconds(300);
// The machine of a silent server is asked this long before the limit, as the
// question takes 290 ms if neither its agent nor the server answers.
constexpr Duration kSilenceCheckLead = Milliseconds(350);
constexpr int kLowestPriority = 9;
constexpr int kStatusMisdirected = 421;
// A discarded response is read up to this size and for this long, so that its
// connection can be reused. Beyond that, the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} * 1024;
constexpr Duration kMaxDiscardTime = Milliseconds(250);
// Limits what is read at once from a server that goes on sending; the buffers
// of the kernel hold less.
constexpr int kMaxPendingReads = 256;
// A request that is still open this long after its deadline was kept from
// ending by an exception.
constexpr Duration kOverdueMargin = Milliseconds(200);
// A longer part of an event needs memory of its own.
constexpr std::size_t kMaxUncountedEventBytes = std::size_t{16} * 1024;
// Of a connection to a server.
constexpr std::size_t kSendBufferBytes = std::size_t{128} * 1024;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

bool IsEventStream(const ResponseHead& head) {
  return FindHeader(head.headers, "Content-Type")
      .starts_with("text/event-stream");
}

}  // namespace

RelayedRequest::RelayedRequest(RelayContext context,
                               std::uint64_t number,
                               RequestHead head,
                               std::shared_ptr<const std::string> body,
                               TimePoint arrived_at,
                               ResponseSink sink)
    : context(context),
      number{std::to_string(number)},
      head(std::move(head)),
      body(std::move(body)),
      arrived_at(arrived_at),
      sink(std::move(sink)),
      waiting_since(arrived_at) {}

void RelayedRequest::Start() {
  const TimePoint now = EventLoop::Now();
  const Result<RequestMetadata> read =
      this->context.codec.read_request(this->head.headers);
  if (!read) {
    this->Fail(400, read.error().detail);
    return;
  }
  this->metadata = read.value();
  const std::vector<std::string> part_names =
      std::exchange(this->metadata.shared_prompt_parts, {});
  if (part_names.size() > kMaxPartsPerRequest) {
    this->context.metrics.Count("prompts_with_ignored_parts_total");
  }
  this->prompt_part_names =
      std::make_shared<const std::string>(JoinPartNames(part_names));
  this->traffic = this->context.view.traffic;
  const CallerCheck check = CheckCaller(
      this->traffic.get(), IsTrafficConfigFresh(this->context.view, now),
      {FindHeader(this->head.headers, "Host"), this->head.target,
       this->metadata.account_key});
  this->route = check.route;
  this->account = check.account;
  switch (check.verdict) {
    case CallerVerdict::kServed:
      break;
    case CallerVerdict::kUnavailable:
      this->Refuse(503, check.why, kShortRetryAfter);
      return;
    case CallerVerdict::kNoRoute:
      this->Fail(404, check.why);
      return;
    case CallerVerdict::kUnknownKey:
      this->Fail(401, check.why);
      return;
  }
  this->service =
      ChooseService(*this->route, HashText(this->metadata.request_id));
  this->prompt_parts = IdentifyParts(this->service, part_names);
  Duration time_left = this->route->timeout;
  if (this->metadata.deadline) {
    time_left = std::min(time_left, *this->metadata.deadline);
  }
  TimePoint deadline = this->arrived_at + time_left;
  this->is_caller_retry =
      this->metadata.deadline &&
      IsCallerRetry(this->context.observed_timeouts, this->route->name,
                    *this->metadata.deadline);
  if (this->context.stop) {
    const std::optional<TimePoint> limited =
        LimitDeadline(*this->context.stop, *this->route, deadline, now);
    if (!limited) {
      this->Refuse(503, "the host stops before it could serve the request",
                   kStopRetryAfter);
      return;
    }
    deadline = *limited;
  }
  this->SetDeadline(deadline, now);
  this->context.dispatcher.RecordRequest(this->service);
  this->Place();
}

void RelayedRequest::SetDeadline(TimePoint deadline, TimePoint now) {
  this->deadline = deadline;
  this->deadline_timer = std::make_unique<Timer>(
      this->context.loop, std::max(this->deadline - now, Duration(0)),
      Duration(0), [this] {
        const auto self = this->shared_from_this();
        this->OnDeadline();
      });
}

void RelayedRequest::LimitToStop(TimePoint now) {
  if (!this->finished && this->context.stop->answer_by < this->deadline) {
    this->SetDeadline(this->context.stop->answer_by, now);
  }
}

void RelayedRequest::EndIfOverdue(TimePoint now) {
  if (!this->finished && this->deadline_timer != nullptr &&
      now >= this->deadline) {
    this->OnDeadline();
  }
}

bool RelayedRequest::EndsWithHost() const {
  return this->context.stop && this->deadline == this->context.stop->answer_by;
}

bool RelayedRequest::HasRepeatableRoute() const {
  return IsRepeatable(*this->route);
}

void RelayedRequest::Place() {
  DispatchRequest dispatch_request;
  dispatch_request.request = this->number;
  dispatch_request.service = this->service;
  if (this->account != nullptr) {
    dispatch_request.account = this->account->name;
  }
  dispatch_request.prompt_tokens = this->metadata.prompt_tokens;
  const TimePoint now = EventLoop::Now();
  const Duration wait =
      this->response_started
          ? kResumeWait
          : MaxQueueWait(this->is_caller_retry, this->route->target_latency,
                         EstimateCallerTimeout(this->route->target_latency,
                                               this->route->max_event_gap),
                         this->deadline - now);
  dispatch_request.prompt_parts = this->prompt_parts;
  const TimePoint last_start = this->deadline - kMinTimeLeft;
  dispatch_request.wait_until = std::min(now + wait, last_start);
  dispatch_request.isolation_wait_until =
      std::min(now + std::max(wait, this->route->target_latency), last_start);
  dispatch_request.deadline = this->deadline;
  dispatch_request.urgent = this->is_caller_retry || this->response_started;
  dispatch_request.tried_servers = this->tried_servers;
  ++this->placements;
  this->waiting = true;
  const auto self = this->weak_from_this();
  this->context.dispatcher.Place(
      std::move(dispatch_request),
      {[self](const Placement& placement) {
         if (const auto request = self.lock()) {
           request->Send(placement);
         }
       },
       [self](ResultCode code, Duration retry_after) {
         if (const auto request = self.lock()) {
           request->waiting = false;
           const bool quarantined = code == ResultCode::kPromptQuarantined;
           if (quarantined) {
             request->context.metrics.Count("quarantined_requests_total");
           }
           if (!request->response_started && !request->maybe_ran) {
             request->Refuse(503, DescribeResultCode(code).name, retry_after);
           } else if (quarantined) {
             request->Fail(502, DescribeResultCode(code).name);
           } else {
             request->Fail(502, request->response_started
                                    ? "no server had capacity to resume the "
                                      "stream"
                                    : "no server had capacity to retry the "
                                      "request");
           }
         }
       }});
}

ServerRequestMetadata RelayedRequest::MakeServerMetadata(
    const ServerConnectionPool& pool,
    TimePoint now) const {
  ServerRequestMetadata metadata;
  metadata.server_id = pool.server().id;
  metadata.deadline = this->deadline - now;
  int priority = this->route->priority;
  if (this->account != nullptr) {
    metadata.account = this->account->name;
    priority = this->account->priority.value_or(priority);
  }
  metadata.resume_after = this->response_started ? this->events.last_id
                                                 : this->metadata.last_event_id;
  metadata.priority = std::clamp(priority, 0, kLowestPriority);
  return metadata;
}

void RelayedRequest::Send(const Placement& placement) {
  const TimePoint now = EventLoop::Now();
  const std::shared_ptr<ServerConnectionPool>& chosen_pool = placement.pool;
  this->waiting = false;
  this->pool = chosen_pool;
  this->pending_prompt_tokens = this->metadata.prompt_tokens;
  this->tried_servers.insert(chosen_pool->server().id);
  this->mode = ResponseMode::kUndecided;
  this->answer_began = false;
  this->sent_at = now;
  ++this->sent_attempts;
  this->isolation = placement.isolation;
  if (!this->prompt_parts.empty()) {
    PromptAttempt prompt;
    prompt.service = this->service;
    prompt.names = this->prompt_part_names;
    prompt.parts = this->prompt_parts;
    if (this->account != nullptr) {
      prompt.account = HashAccount(this->account->name.value);
    }
    if (placement.isolation) {
      prompt.isolated = placement.isolation->parts;
      this->context.metrics.Count("isolated_requests_total");
    }
    this->ticket = this->context.quarantine.AddAttempt(chosen_pool->server(),
                                                       std::move(prompt));
  }
  // A server may close an idle connection just as a request arrives, and then
  // it is unknown whether the request ran. Only repeatable requests take that
  // risk.
  std::unique_ptr<TcpConnection> connection;
  if (this->HasRepeatableRoute()) {
    connection = chosen_pool->TakeIdle(now);
  }
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = std::make_unique<TcpConnection>(
        this->context.loop, chosen_pool->server().address, kReceiveBufferBytes);
    connection->LimitSendBuffer(kSendBufferBytes);
    this->context.metrics.Count("server_connections_total");
  }
  SentLine sent;
  sent.request = this->metadata.request_id;
  sent.route = this->route->name;
  sent.server = chosen_pool->server().id;
  sent.attempt = this->sent_attempts;
  sent.queue_time = now - this->arrived_at;
  sent.time_left = this->deadline - now;
  sent.outstanding = chosen_pool->outstanding;
  sent.kept_connection = reused;
  sent.config_version = this->traffic->version;
  sent.tested_parts = this->isolation ? this->isolation->parts.size() : 0;
  RelayedRequest* raw = this;
  this->attempt = std::make_unique<ServerAttempt>(
      std::move(connection), reused, this->context.codec,
      WriteServerRequestHead(this->context.codec, this->head,
                             this->body->size(),
                             this->MakeServerMetadata(*chosen_pool, now)),
      this->metadata.request_id, this->head.method != "HEAD",
      AttemptCallbacks{[this, placement] {
                         return this->context.dispatcher.CheckWrite(
                             placement, EventLoop::Now());
                       },
                       [raw, sent, now]() mutable {
                         raw->written_at = EventLoop::Now();
                         sent.connect_time = EventLoop::Now() - now;
                         LogSent(sent);
                       },
                       [raw](const ResponseHead& response,
                             const ResponseMetadata& metadata) {
                         const auto self = raw->shared_from_this();
                         raw->OnHead(response, metadata);
                       },
                       [raw](const std::string& bytes) {
                         const auto self = raw->shared_from_this();
                         raw->OnBody(bytes);
                       },
                       [raw](AttemptEnd end, std::string_view detail) {
                         const auto self = raw->shared_from_this();
                         raw->OnEnd(end, detail);
                       }});
  this->attempt->SetBody(this->body);
  this->attempt->Start(placement.write_by);
}

void RelayedRequest::OnHead(const ResponseHead& response,
                            const ResponseMetadata& metadata) {
  this->response = response;
  this->response_not_run = metadata.not_run;
  this->server_at_fault = metadata.server_at_fault;
  this->RecordStatements(response, metadata);
  this->discard_started_at = EventLoop::Now();
  this->discarded_bytes = 0;
  if (this->pool != nullptr && this->pending_prompt_tokens > 0) {
    this->pool->pending_prompt_tokens -=
        std::exchange(this->pending_prompt_tokens, 0);
  }
  if (metadata.not_run) {
    this->mode = ResponseMode::kDiscard;
    return;
  }
  this->maybe_ran = true;
  const bool success = IsSuccess(response.status);
  if (this->response_started && !success) {
    // The caller has already received a part of a successful response.
    this->mode = ResponseMode::kDiscard;
    return;
  }
  if (response.status >= 500 && this->CanRetryElsewhere(true) &&
      this->HasRepeatableRoute()) {
    this->mode = ResponseMode::kDiscard;
    return;
  }
  if (success && this->route->kind == RouteKind::kStream &&
      IsEventStream(response)) {
    this->mode = ResponseMode::kEvents;
  } else {
    this->mode = ResponseMode::kBuffer;
    this->waiting_since = EventLoop::Now();
  }
  this->ReleaseBodyIfFinal();
}

void RelayedRequest::RecordStatements(const ResponseHead& head,
                                      const ResponseMetadata& metadata) {
  // Another server than the one that was meant may have answered 421.
  if (this->pool == nullptr || head.status == kStatusMisdirected) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  Dispatcher& dispatcher = this->context.dispatcher;
  if (!dispatcher.RecordLeaving(*this->pool, metadata.leaving, now)) {
    this->context.metrics.Count("server_leavings_malformed_total");
  }
  if (!dispatcher.RecordQuiet(*this->pool, metadata.quiet, now)) {
    this->context.metrics.Count("server_quiets_malformed_total");
  }
  // Only the seal marks an answer as the server's own.
  if (metadata.limit.kind == LimitFieldKind::kAbsent && !metadata.sealed) {
    return;
  }
  if (!dispatcher.RecordLimit(*this->pool, metadata.limit, this->written_at,
                              now)) {
    this->context.metrics.Count("server_limits_malformed_total");
  }
}

void RelayedRequest::ReleaseBodyIfFinal() {
  if (!this->HasRepeatableRoute() || !this->CanRetryElsewhere(true)) {
    this->body = nullptr;
  }
}

void RelayedRequest::OnBody(const std::string& bytes) {
  const TimePoint now = EventLoop::Now();
  switch (this->mode) {
    case ResponseMode::kUndecided:
      return;
    case ResponseMode::kDiscard:
      this->discarded_bytes += bytes.size();
      if (this->discarded_bytes > kMaxDiscardedBytes) {
        this->AbandonDiscarded("a discarded response exceeded the size limit");
      }
      return;
    case ResponseMode::kBuffer:
      this->waiting_since = now;
      this->buffered += bytes;
      if (this->buffered.size() > kMaxBufferedBytes || !this->ReserveAnswer()) {
        this->mode = ResponseMode::kRaw;
        this->ForwardBody(std::exchange(this->buffered, {}));
      }
      return;
    case ResponseMode::kEvents: {
      const auto last_id = this->events.last_id;
      const std::string complete = SplitEvents(this->events, bytes);
      this->ForwardBody(complete);
      if (this->events.last_id != last_id) {
        this->waiting_since = now;
      }
      if (!complete.empty()) {
        this->MarkBegun(now);
      }
      const bool too_large =
          this->events.too_large ||
          (this->events.partial.size() > kMaxUncountedEventBytes &&
           !this->ReserveAnswer());
      if (this->events.out_of_order || too_large) {
        this->attempt.reset();
        this->OnEnd(AttemptEnd::kTruncated,
                    too_large ? "an event of the stream is too long"
                              : "the ids of the stream do not increase");
      }
      return;
    }
    case ResponseMode::kRaw:
      this->waiting_since = now;
      this->ForwardBody(bytes);
      return;
  }
}

void RelayedRequest::AbandonDiscarded(std::string_view why) {
  // The statement in the head holds even if the body is incomplete.
  const bool not_run = this->response_not_run;
  this->attempt.reset();
  this->OnEnd(AttemptEnd::kTruncated, why, not_run);
}

void RelayedRequest::EndOverdue() {
  // The outcome is logged before the response is sent.
  const bool answer_is_lost = this->finished;
  try {
    this->OnDeadline();
  } catch (...) {
    this->finished = true;
    this->sink.abort();
    throw;
  }
  if (answer_is_lost) {
    this->sink.abort();
  }
}

void RelayedRequest::Sweep(TimePoint now) {
  if (now - this->deadline > kOverdueMargin) {
    this->EndOverdue();
    return;
  }
  if (this->attempt != nullptr && this->mode == ResponseMode::kDiscard &&
      now - this->discard_started_at > kMaxDiscardTime) {
    this->AbandonDiscarded("a discarded response did not end in time");
    return;
  }
  if (this->attempt != nullptr) {
    // The call may end the attempt, whose callbacks may start another one.
    const auto self = this->shared_from_this();
    this->attempt->CheckUnwritten();
  }
  this->FailIfServerHalted(now);
}

void RelayedRequest::ForwardBody(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (!std::exchange(this->response_started, true)) {
    this->first_byte_at = EventLoop::Now();
    this->sink.send_head(this->response.status, this->response.reason,
                         this->context.codec.caller_headers(
                             RemoveHopByHopHeaders(this->response.headers)));
  }
  this->sink.send_chunk(bytes);
  const std::size_t unsent = this->sink.unsent_bytes();
  if (this->attempt != nullptr && unsent > 0 &&
      (unsent > kMaxUnsentBytes || !this->ReserveAnswer())) {
    this->attempt->SetReading(false);
  }
}

bool RelayedRequest::ReserveAnswer() const {
  return this->sink.reserve(this->buffered.size() +
                            this->events.partial.size() +
                            this->sink.unsent_bytes());
}

void RelayedRequest::FailIfServerHalted(TimePoint now) {
  // A stopping host ends streams at the end of its grace time and not before.
  if (this->context.stop && this->response_started) {
    return;
  }
  const auto limit = std::chrono::duration_cast<Duration>(
      EstimateCallerTimeout(this->route->target_latency,
                            this->route->max_event_gap) *
      kSilenceLimitFraction);
  // What the host did not see while it stood still is nobody's silence.
  const auto is_waiting = [this, now](Duration least) {
    return this->attempt != nullptr &&
           now - std::max(this->waiting_since, this->context.awake_since) >=
               least &&
           now - this->sent_at >= kMinSilence;
  };
  if (!is_waiting(limit - kSilenceCheckLead)) {
    return;
  }
  const bool machine_silent =
      this->context.silence.IsSilent(this->pool->server(), now);
  const auto is_halted = [&] {
    return is_waiting(limit) &&
           (machine_silent ||
            this->context.dispatcher.IsHaltedOrStalled(*this->pool, now));
  };
  if (!is_halted()) {
    return;
  }
  this->ReadPending();
  if (!is_halted()) {
    return;
  }
  this->maybe_ran = this->maybe_ran || this->attempt->any_sent();
  this->attempt.reset();
  this->pool->health = RecordFailure(this->pool->health, now);
  this->ReleaseServer(AttemptResult::kLost);
  this->EndIsolation();
  this->Fail(502, machine_silent ? "the server's machine does not answer"
                                 : "the model group executes no passes and the "
                                   "server does not answer");
}

void RelayedRequest::OnOutputDrained() {
  if (this->attempt != nullptr) {
    this->attempt->SetReading(true);
  }
}

void RelayedRequest::MarkBegun(TimePoint now) {
  this->answer_began = true;
  if (this->ticket) {
    this->context.quarantine.MarkBegun(*this->ticket, now);
  }
  this->EndIsolation();
}

void RelayedRequest::ReleaseServer(AttemptResult result) {
  if (this->ticket) {
    this->context.quarantine.EndAttempt(
        *std::exchange(this->ticket, std::nullopt), result, EventLoop::Now());
  }
  if (this->pool != nullptr) {
    this->context.dispatcher.Release(
        *this->pool, std::exchange(this->pending_prompt_tokens, 0));
    this->pool.reset();
  }
}

void RelayedRequest::OnEnd(AttemptEnd end,
                           std::string_view detail,
                           bool known_not_run) {
  if (end == AttemptEnd::kComplete && this->mode == ResponseMode::kEvents &&
      !this->events.partial.empty()) {
    this->OnEnd(AttemptEnd::kTruncated, "the stream ended inside an event");
    return;
  }
  const TimePoint now = EventLoop::Now();
  const std::shared_ptr<ServerConnectionPool> server = this->pool;
  const bool complete = end == AttemptEnd::kComplete;
  if (complete) {
    if (auto connection = this->attempt->TakeConnection()) {
      server->AddIdle(std::move(connection),
                      this->attempt->server_keep_alive_timeout(), now);
    }
    const bool misdirected = this->response.status == kStatusMisdirected;
    if (misdirected && this->metadata.expects_weight_version) {
      // The server need not be at fault: its weights may have another version.
    } else if (this->response.status >= 500 || this->response_not_run) {
      this->context.dispatcher.RecordRefusal(*server, misdirected,
                                             this->server_at_fault, now);
    } else {
      server->health = RecordSuccess(server->health);
    }
    if (IsSuccess(this->response.status)) {
      this->MarkBegun(now);
    }
  } else {
    if (end != AttemptEnd::kWithheld) {
      server->health = RecordFailure(server->health, now);
    }
    if (WasSent(end) && !known_not_run) {
      this->maybe_ran = true;
    }
  }
  this->attempt.reset();
  const bool settled = complete || known_not_run || !WasSent(end);
  this->ReleaseServer(settled ? AttemptResult::kSettled : AttemptResult::kLost);
  if (complete && this->mode != ResponseMode::kDiscard) {
    this->EndIsolation();
    this->OnComplete();
    return;
  }
  LogAttemptFailed({this->metadata.request_id, server->server().id,
                    this->sent_attempts, end, this->response.status,
                    this->response_not_run, this->answer_began, detail,
                    *this->prompt_part_names});
  const bool not_run =
      !WasSent(end) || known_not_run || (complete && this->response_not_run);
  if (complete || known_not_run || end == AttemptEnd::kWithheld) {
    this->EndIsolation();
    this->AfterLostAttempt(end, std::string(detail), not_run);
    return;
  }
  // A prompt that has crashed its server is not sent to another one. The
  // request waits until that is known.
  this->checking = true;
  this->context.quarantine.CheckServer(
      server->server(), [weak = this->weak_from_this(), end, not_run,
                         detail = std::string(detail)] {
        const auto request = weak.lock();
        if (request == nullptr) {
          return;
        }
        request->EndIsolation();
        if (!request->finished && request->checking) {
          request->checking = false;
          request->AfterLostAttempt(end, detail, not_run);
        }
      });
}

void RelayedRequest::EndIsolation() {
  if (this->isolation) {
    this->context.dispatcher.EndIsolation(
        *std::exchange(this->isolation, std::nullopt));
  }
}

void RelayedRequest::AfterLostAttempt(AttemptEnd end,
                                      const std::string& detail,
                                      bool not_run) {
  const TimePoint now = EventLoop::Now();
  this->buffered.clear();
  StartNextRun(this->events);
  const bool may_repeat = not_run || (this->HasRepeatableRoute() &&
                                      this->mode != ResponseMode::kRaw);
  if (may_repeat && this->RetryElsewhere(WasSent(end), detail)) {
    return;
  }
  if (this->response_started || this->maybe_ran) {
    this->Fail(502, detail);
  } else {
    const bool halted = this->context.dispatcher.IsHalted(this->service);
    const auto quiet =
        this->context.dispatcher.FindQuietReturn(this->service, now);
    this->Refuse(503, "the servers did not run the request",
                 RetryDelay(halted ? kHaltedRetryAfter
                                   : quiet.value_or(kShortRetryAfter),
                            this->deadline - now));
  }
}

void RelayedRequest::OnComplete() {
  const TimePoint now = EventLoop::Now();
  if (this->mode == ResponseMode::kBuffer ||
      (this->mode == ResponseMode::kEvents && !this->response_started)) {
    this->first_byte_at = now;
    HttpHeaders headers = this->context.codec.caller_headers(
        RemoveHopByHopHeaders(this->response.headers));
    const auto self = this->shared_from_this();
    this->Finish("answered", this->response.status, "");
    this->sink.send_response(this->response.status, this->response.reason,
                             std::move(headers), std::move(this->buffered));
    return;
  }
  this->Finish("answered", this->response.status, "");
  this->sink.finish();
}

bool RelayedRequest::CanRetryElsewhere(bool was_sent) const {
  return this->body != nullptr &&
         (!was_sent || this->sent_attempts < this->route->max_attempts) &&
         this->placements<kMaxPlacements&& this->deadline - EventLoop::Now()>
             kMinTimeLeft &&
         !this->events.out_of_order &&
         (!this->response_started || this->events.last_id.has_value());
}

bool RelayedRequest::RetryElsewhere(bool was_sent, std::string_view why) {
  if (!was_sent) {
    --this->sent_attempts;
  }
  if (!this->CanRetryElsewhere(was_sent)) {
    return false;
  }
  if (was_sent && !this->context.dispatcher.TryAcquireRetry(this->service)) {
    LogJsonNow("retry_denied",
               {{"request", std::string_view(this->metadata.request_id)},
                {"why", why}});
    return false;
  }
  this->context.metrics.Count("retries_total");
  this->response_not_run = false;
  this->Place();
  return true;
}

void RelayedRequest::ReadPending() {
  for (int i = 0; i < kMaxPendingReads && this->attempt != nullptr; ++i) {
    if (!this->attempt->ReadPending()) {
      return;
    }
  }
}

void RelayedRequest::OnDeadline() {
  this->ReadPending();
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
  this->ReleaseServer(AttemptResult::kLost);
  this->EndIsolation();
  const bool host_ends = this->EndsWithHost();
  if (this->response_started || this->maybe_ran) {
    this->Fail(504, host_ends ? "the host stops" : "deadline");
  } else if (host_ends) {
    this->Refuse(503, "the host stops", kStopRetryAfter);
  } else {
    this->Refuse(503, "the deadline passed before the request was sent",
                 kShortRetryAfter);
  }
}

void RelayedRequest::Refuse(int status,
                            std::string_view why,
                            Duration retry_after) {
  HttpHeaders headers = this->context.codec.relay_response_headers(
      this->metadata.request_id, retry_after);
  this->Finish("refused", status, why);
  this->sink.send_response(status, "", std::move(headers), "");
}

void RelayedRequest::Fail(int status, std::string_view why) {
  const bool response_started = this->response_started;
  HttpHeaders headers = this->context.codec.relay_response_headers(
      this->metadata.request_id, std::nullopt);
  this->Finish("failed", status, why);
  if (response_started) {
    this->sink.abort();
  } else {
    this->sink.send_response(status, "", std::move(headers), "");
  }
}

void RelayedRequest::Finish(std::string_view outcome,
                            int status,
                            std::string_view why) {
  this->finished = true;
  this->deadline_timer.reset();
  this->EndIsolation();
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
  line.request = this->metadata.request_id;
  if (this->route != nullptr) {
    line.route = this->route->name;
  }
  if (this->account != nullptr) {
    line.account = this->account->name.value;
  }
  line.outcome = outcome;
  line.status = status;
  line.why = why;
  line.is_caller_retry = this->is_caller_retry;
  line.attempts = this->sent_attempts;
  line.maybe_ran = this->maybe_ran;
  if (this->response_started || outcome == "answered") {
    line.first_byte = this->first_byte_at - this->arrived_at;
  }
  line.duration = now - this->arrived_at;
  LogEnded(line);
}

HeldMemory RelayedRequest::held_memory() const {
  HeldMemory held;
  held.bodies = this->body == nullptr ? 0 : this->body->size();
  held.answers = this->buffered.size() + this->events.partial.size();
  return this->attempt == nullptr ? held : held + this->attempt->held_memory();
}

void RelayedRequest::Cancel(std::string_view reason) {
  if (std::exchange(this->finished, true)) {
    return;
  }
  this->deadline_timer.reset();
  this->attempt.reset();
  if (this->waiting) {
    this->context.dispatcher.Withdraw(this->number);
  }
  const std::string server =
      this->pool == nullptr ? "" : this->pool->server().id;
  this->ReleaseServer(AttemptResult::kLost);
  this->EndIsolation();
  this->context.metrics.Count("requests_total", "outcome=\"cancelled\"");
  LogCancelled({this->metadata.request_id, server, this->answer_began, reason,
                *this->prompt_part_names, EventLoop::Now() - this->arrived_at});
}

}  // namespace toucanhollow
