#include "entry/request_task.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "caller_api/write_answer.h"

namespace toucanhollow {
namespace {

// A caller that leaves this much of its stream unread is given up, so that
// slow callers cannot hold the memory of an entry host.
constexpr std::size_t kMaxUnreadBytes = std::size_t{1} << 20;

}  // namespace

struct RequestTask::Open {
  RequestLife life;
  CallerRequest caller;
  AnswerIdentity identity;
  std::shared_ptr<HttpResponseWriter> writer;
  TimePoint accepted_at;
  TimePoint deadline;
  std::unique_ptr<Timer> deadline_timer;
  // Endpoints that refused or failed an earlier attempt.
  std::vector<EndpointName> excluded;
  bool head_sent = false;
  bool first_piece = false;
  bool closed = false;
};

RequestTask::RequestTask(ProcessContext& process_context,
                         EndpointLinks& endpoint_links)
    : context(process_context), links(endpoint_links) {}

RequestTask::~RequestTask() = default;

std::size_t RequestTask::OpenRequests() const {
  return this->requests.size();
}

Event RequestTask::MakeEvent(const Open& open, EventKind kind) const {
  Event event;
  event.kind = kind;
  event.request = open.life.id;
  return event;
}

void RequestTask::Accept(CallerRequest request,
                         std::shared_ptr<HttpResponseWriter> writer) {
  auto owned = std::make_unique<Open>();
  Open& open = *owned;
  open.life.id.value = this->context.settings.process.value + "." +
                       std::to_string(this->context.incarnation.value) + "." +
                       std::to_string(++this->accepted);
  open.life.repeatable = request.repeatable;
  open.life.keyed = !request.repeatable && !request.idempotency_key.empty();
  open.accepted_at = EventLoop::Now();
  const Duration allowed = request.deadline > Duration(0)
                               ? request.deadline
                               : this->context.settings.limits.default_deadline;
  open.deadline = open.accepted_at + allowed;
  open.identity = AnswerIdentity{request.form, open.life.id, request.service,
                                 EventLoop::WallNow()};
  open.caller = std::move(request);
  open.writer = std::move(writer);
  const RequestId id = open.life.id;
  this->requests.emplace(id, std::move(owned));
  this->context.metrics.Count("requests_accepted");
  Event event = this->MakeEvent(open, EventKind::kRequestAccepted);
  event.subject = open.caller.service.value;
  event.detail = "account " + open.caller.account.value;
  this->context.Record(std::move(event));

  const auto apply_later = [this, id](const RequestEvent& happened) {
    const auto found = this->requests.find(id);
    if (found != this->requests.end()) {
      this->Apply(*found->second, happened);
    }
  };
  open.deadline_timer =
      std::make_unique<Timer>(this->context.loop, allowed, Duration(0),
                              [apply_later] { apply_later(DeadlinePassed{}); });
  open.writer->OnCallerGone([apply_later] { apply_later(CallerLeft{}); });
  if (!this->links.Serves(open.caller.service)) {
    this->Apply(open, NoAttemptPossible{MakeFailure(
                          ResultCode::kUnknownService,
                          "no endpoint of '" + open.caller.service.value +
                              "' is known")});
    return;
  }
  this->StartAttemptNow(open, StartAttempt{false});
}

void RequestTask::Apply(Open& open, const RequestEvent& event) {
  RequestStep step = toucanhollow::OnEvent(std::move(open.life), event);
  open.life = std::move(step.life);
  for (const RequestAction& action : step.actions) {
    this->Perform(open, action);
  }
  if (open.life.ended && !open.closed) {
    this->Close(open);
  }
}

void RequestTask::Perform(Open& open, const RequestAction& action) {
  if (const auto* piece = std::get_if<DeliverPiece>(&action)) {
    this->Deliver(open, piece->text);
  } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
    // Later, because starting an attempt applies events itself.
    Post(this->context.loop, [this, id = open.life.id, start = *start] {
      const auto found = this->requests.find(id);
      if (found != this->requests.end()) {
        this->StartAttemptNow(*found->second, start);
      }
    });
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    const auto found = this->dispatches.find(cancel->dispatch_id);
    if (found != this->dispatches.end()) {
      this->links.Send(found->second.agent, Cancel{cancel->dispatch_id});
      this->EndDispatch(cancel->dispatch_id);
    }
  } else if (const auto* whole = std::get_if<FinishWhole>(&action)) {
    this->FinishAnswer(open, whole->end);
  } else if (const auto* failed = std::get_if<FinishFailed>(&action)) {
    this->FinishFailure(open, failed->failure);
  }
}

void RequestTask::StartAttemptNow(Open& open, const StartAttempt& action) {
  RoutingRequest routing;
  routing.excluded = open.excluded;
  const Result<AgentRun> chosen =
      this->links.Choose(open.caller.service, routing);
  if (!chosen) {
    this->Apply(open, NoAttemptPossible{chosen.error()});
    return;
  }
  Dispatch dispatch;
  dispatch.attempt = open.life.attempts_started + 1;
  dispatch.dispatch_id.value =
      open.life.id.value + "." + std::to_string(dispatch.attempt);
  dispatch.request_id = open.life.id;
  dispatch.receiver = chosen.value().incarnation;
  dispatch.account = open.caller.account;
  dispatch.service = open.caller.service;
  dispatch.method = open.caller.method;
  dispatch.path = open.caller.path;
  dispatch.content_type = open.caller.content_type;
  dispatch.body = open.caller.form == AnswerForm::kPlain ? open.caller.body
                                                         : open.caller.prompt;
  dispatch.max_tokens = open.caller.max_tokens.value_or(0);
  dispatch.priority = open.caller.priority;
  dispatch.remaining = open.deadline - EventLoop::Now();
  dispatch.idempotency_key = open.caller.idempotency_key;
  dispatch.repeatable = open.caller.repeatable;
  dispatch.stream = open.caller.stream;
  dispatch.resume_index = open.life.delivered;
  dispatch.resume_text = open.life.delivered_text;

  Event event = this->MakeEvent(
      open, action.spends_retry ? EventKind::kRetried : EventKind::kDispatched);
  event.dispatch = dispatch.dispatch_id;
  event.endpoint = chosen.value().endpoint;
  this->context.Record(std::move(event));
  this->dispatches.emplace(dispatch.dispatch_id,
                           OpenDispatch{open.life.id, chosen.value()});
  this->Apply(open,
              AttemptStarted{dispatch.dispatch_id, chosen.value().endpoint,
                             chosen.value().incarnation, false});
  if (!this->links.Send(chosen.value(), dispatch)) {
    open.excluded.push_back(chosen.value().endpoint);
    this->dispatches.erase(dispatch.dispatch_id);
    this->Apply(
        open,
        AttemptFailed{dispatch.dispatch_id, chosen.value().incarnation, true,
                      MakeFailure(ResultCode::kNoEndpointAvailable,
                                  "the link's queue is full")});
  }
}

void RequestTask::EndDispatch(const DispatchId& dispatch_id) {
  const auto found = this->dispatches.find(dispatch_id);
  if (found == this->dispatches.end()) {
    return;
  }
  const auto request = this->requests.find(found->second.request);
  if (request != this->requests.end()) {
    this->links.NoteEnded(request->second->caller.service,
                          found->second.agent.endpoint);
  }
  this->dispatches.erase(found);
}

void RequestTask::OnMessage(const AgentRun& agent, Message message) {
  const auto find_open = [&](const DispatchId& dispatch_id) -> Open* {
    const auto dispatch = this->dispatches.find(dispatch_id);
    if (dispatch == this->dispatches.end() || dispatch->second.agent != agent) {
      this->context.metrics.Count("messages_of_ended_dispatches");
      return nullptr;
    }
    return this->requests.at(dispatch->second.request).get();
  };
  if (auto* token = std::get_if<Token>(&message)) {
    if (Open* open = find_open(token->dispatch_id)) {
      this->Apply(*open, PieceArrived{token->dispatch_id, agent.incarnation,
                                      token->index, std::move(token->text)});
    }
  } else if (auto* done = std::get_if<Done>(&message)) {
    if (Open* open = find_open(done->dispatch_id)) {
      this->Apply(*open, EndArrived{done->dispatch_id, agent.incarnation,
                                    AnswerEnd{done->count, done->status,
                                              std::move(done->content_type),
                                              std::move(done->finish_reason)}});
    }
  } else if (auto* refused = std::get_if<Refused>(&message)) {
    if (Open* open = find_open(refused->dispatch_id)) {
      open->excluded.push_back(agent.endpoint);
      if (refused->code == ResultCode::kEndpointFull) {
        this->links.NoteFull(open->caller.service, agent.endpoint);
      }
      this->EndDispatch(refused->dispatch_id);
      this->Apply(*open,
                  AttemptFailed{
                      refused->dispatch_id, agent.incarnation, refused->not_run,
                      MakeFailure(refused->code, std::move(refused->detail))});
    }
  } else if (auto* unknown = std::get_if<OutcomeUnknown>(&message)) {
    if (Open* open = find_open(unknown->dispatch_id)) {
      open->excluded.push_back(agent.endpoint);
      this->EndDispatch(unknown->dispatch_id);
      this->Apply(*open,
                  AttemptFailed{
                      unknown->dispatch_id, agent.incarnation, false,
                      MakeFailure(unknown->code, std::move(unknown->detail))});
    }
  }
}

void RequestTask::OnLost(const AgentRun& agent) {
  std::vector<DispatchId> lost;
  for (const auto& [dispatch_id, dispatch] : this->dispatches) {
    if (dispatch.agent == agent) {
      lost.push_back(dispatch_id);
    }
  }
  for (const DispatchId& dispatch_id : lost) {
    const RequestId request = this->dispatches.at(dispatch_id).request;
    this->EndDispatch(dispatch_id);
    Open& open = *this->requests.at(request);
    open.excluded.push_back(agent.endpoint);
    this->Apply(
        open, AttemptFailed{dispatch_id, agent.incarnation, false,
                            MakeFailure(ResultCode::kOutcomeUnknown,
                                        "the link to " + agent.endpoint.value +
                                            " closed")});
  }
}

void RequestTask::Deliver(Open& open, const std::string& text) {
  if (!std::exchange(open.first_piece, true)) {
    this->context.metrics.Observe(
        "first_piece_ms", ToMilliseconds(EventLoop::Now() - open.accepted_at));
    this->context.Record(this->MakeEvent(open, EventKind::kFirstToken));
  }
  if (!open.caller.stream) {
    return;
  }
  if (!std::exchange(open.head_sent, true)) {
    open.writer->Start(200, {{"Content-Type", "text/event-stream"},
                             {"Cache-Control", "no-store"},
                             {"X-Request-Id", open.life.id.value}});
  }
  this->context.metrics.Count("tokens_delivered");
  open.writer->Write(WriteChunk(open.identity, text));
  if (open.writer->BufferedBytes() > kMaxUnreadBytes) {
    this->context.metrics.Count("slow_callers_given_up");
    open.writer->Abort();
    Post(this->context.loop, [this, id = open.life.id] {
      const auto found = this->requests.find(id);
      if (found != this->requests.end()) {
        this->Apply(*found->second, CallerLeft{});
      }
    });
  }
}

void RequestTask::FinishAnswer(Open& open, const AnswerEnd& end) {
  this->context.metrics.Count("requests_answered");
  Event event = this->MakeEvent(open, EventKind::kAnswered);
  event.code = static_cast<int>(ResultCode::kAnswered);
  event.detail = std::to_string(end.count) + " pieces";
  this->context.Record(std::move(event));
  const HttpHeader request_id{"X-Request-Id", open.life.id.value};
  if (open.caller.form == AnswerForm::kPlain) {
    HttpHeaders headers = {request_id};
    if (!end.content_type.empty()) {
      headers.push_back({"Content-Type", end.content_type});
    }
    open.writer->Respond(end.status, std::move(headers),
                         open.life.delivered_text);
  } else if (open.caller.stream) {
    if (!std::exchange(open.head_sent, true)) {
      open.writer->Start(200,
                         {{"Content-Type", "text/event-stream"}, request_id});
    }
    open.writer->Write(WriteStreamEnd(open.identity, end.finish_reason));
    open.writer->End();
  } else {
    open.writer->Respond(
        200, {{"Content-Type", "application/json"}, request_id},
        WriteWholeAnswer(open.identity, open.life.delivered_text, end.count,
                         end.finish_reason));
  }
}

void RequestTask::FinishFailure(Open& open, const Failure& failure) {
  const int code = static_cast<int>(failure.code);
  this->context.metrics.Count("requests_failed",
                              "code=\"" + std::to_string(code) + "\"");
  Event event =
      this->MakeEvent(open, failure.code == ResultCode::kCancelledByCaller
                                ? EventKind::kCancelled
                                : (IsCertainlyNotRun(failure.code)
                                       ? EventKind::kRefused
                                       : EventKind::kOutcomeUnknown));
  event.code = code;
  event.detail = failure.detail;
  this->context.Record(std::move(event));
  if (failure.code == ResultCode::kCancelledByCaller) {
    return;
  }
  if (open.head_sent) {
    open.writer->Write(WriteStreamError(failure, open.life.id));
    open.writer->End();
    return;
  }
  open.writer->Respond(DescribeResultCode(failure.code).http_status,
                       {{"Content-Type", "application/json"},
                        {"X-Request-Id", open.life.id.value}},
                       WriteError(failure, open.life.id));
}

// The request stays until the current callback has returned.
void RequestTask::Close(Open& open) {
  open.closed = true;
  std::vector<DispatchId> ended;
  for (const auto& [dispatch_id, dispatch] : this->dispatches) {
    if (dispatch.request == open.life.id) {
      ended.push_back(dispatch_id);
    }
  }
  for (const DispatchId& dispatch_id : ended) {
    this->EndDispatch(dispatch_id);
  }
  Post(this->context.loop,
       [this, id = open.life.id] { this->requests.erase(id); });
}

}  // namespace toucanhollow
