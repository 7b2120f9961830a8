// The requests that this entry host has accepted: each from its acceptance to
// its one outcome.
#ifndef ENTRY_REQUEST_TASK_H_
#define ENTRY_REQUEST_TASK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller_api/caller_request.h"
#include "config/config_view.h"
#include "entry/endpoint_links.h"
#include "entry/void_task.h"
#include "http_server/http_response_writer.h"
#include "overload/budget.h"
#include "overload/fair_queue.h"
#include "request/on_event.h"
#include "routing/prefix_index.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

class RequestTask {
 public:
  // `view` is the configuration in force, owned by the entry host.
  RequestTask(ProcessContext& context,
              EndpointLinks& links,
              VoidTask& voids,
              const ConfigView& view);
  ~RequestTask();

  // Takes the request and answers it later.
  void Accept(CallerRequest request,
              std::shared_ptr<HttpResponseWriter> writer);
  // A message of an agent about a dispatch.
  void OnMessage(const AgentRun& agent, Message message);
  void OnLost(const AgentRun& agent);
  void OnVoidSettled(const VoidWatch& watch);
  // Sends queued requests while endpoints have free slots, after the current
  // callback.
  void PumpSoon();
  std::size_t OpenRequests() const;
  std::size_t QueuedRequests() const;

 private:
  struct Open;
  struct OpenDispatch {
    RequestId request;
    AgentRun agent;
  };
  // The queue of one model or plain service.
  struct ServiceQueue {
    FairQueue queue;
    // Since when no endpoint takes work, while requests wait.
    std::optional<TimePoint> without_endpoint_since;
  };

  void Pump();
  Open* FindOpen(const RequestId& id);
  Result<bool> Resolve(Open& open);
  Result<bool> ResolvePlain(Open& open);
  void Enqueue(Open& open, bool at_head);
  void PumpQueue(ServiceQueue& queue);
  void RefuseQueued(const RequestId& id, ResultCode code);
  void RefuseAll(ServiceQueue& queue, const Failure& failure);
  Result<ChosenAgent> Choose(const Open& open, const AgentRun* besides);
  void SendAttempt(Open& open, const ChosenAgent& chosen, bool hedge);
  Dispatch MakeDispatch(const Open& open, const ChosenAgent& chosen) const;
  void StartHedgeTimer(Open& open);
  void Hedge(Open& open);
  void Apply(Open& open, const RequestEvent& event);
  void Perform(Open& open, const RequestAction& action);
  void StartAgain(Open& open, const StartAttempt& action);
  void StartVoid(Open& open, const DispatchId& dispatch_id);
  void Deliver(Open& open, const std::string& text);
  void FinishAnswer(Open& open, const AnswerEnd& end);
  void FinishFailure(Open& open, const Failure& failure);
  void Close(Open& open);
  void EndDispatch(const DispatchId& dispatch_id);
  void FailAttempt(const AgentRun& agent,
                   const DispatchId& dispatch_id,
                   bool not_run,
                   Failure failure);
  void RecordEvent(const Open& open,
                   EventKind kind,
                   const Failure* failure = nullptr,
                   const DispatchId* dispatch_id = nullptr,
                   const EndpointName* endpoint = nullptr);

  ProcessContext& context;
  EndpointLinks& links;
  VoidTask& voids;
  const ConfigView& view;
  std::uint64_t accepted = 0;
  std::map<RequestId, std::unique_ptr<Open>> requests;
  std::map<DispatchId, OpenDispatch> dispatches;
  std::map<std::string, ServiceQueue> queues;
  Budget retry_budget = MakeRetryBudget();
  HedgeState hedges;
  PrefixIndex prefixes;
  bool pump_posted = false;
  std::unique_ptr<Timer> pump_timer;
};

}  // namespace toucanhollow

#endif  // ENTRY_REQUEST_TASK_H_
