// Handles each request that this entry host accepts, from its acceptance to its
// single outcome.
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

  // Starts the request; its answer is written to `writer` later.
  void Accept(CallerRequest request,
              std::shared_ptr<HttpResponseWriter> writer);
  // Handles an agent's message about a dispatch or about its engine's cache.
  void OnMessage(const AgentIncarnation& agent, Message message);
  // Fails the agent's open attempts with an unknown outcome.
  void OnAgentLinkLost(const AgentIncarnation& agent);

  void OnVoidSettled(const VoidWatch& watch);
  // Schedules a pass over the queues after the current callback; it sends
  // queued requests while endpoints have free slots.
  void ScheduleDispatch();
  std::size_t OpenRequests() const;
  std::size_t QueuedRequests() const;

 private:
  struct OpenRequest;
  struct OpenDispatch {
    RequestId request;
    // The dispatch is bound to this incarnation.
    AgentIncarnation agent;
  };
  // The waiting requests of one model or plain service.
  struct ServiceQueue {
    FairQueue queue;
    // When the queue began to wait without any endpoint that accepts work.
    std::optional<TimePoint> without_endpoint_since;
  };

  void DispatchAllQueued();
  void OnCacheNotice(const CacheNotice& notice);
  OpenRequest* FindOpenRequest(const RequestId& id);
  Result<bool> ResolveServices(OpenRequest& open);
  Result<bool> ResolvePlainService(OpenRequest& open);
  void Enqueue(OpenRequest& open, bool at_head);
  void DispatchQueued(ServiceQueue& queue);
  void RefuseQueued(const RequestId& id, ResultCode code);
  void RefuseAll(ServiceQueue& queue, const Failure& failure);
  Result<ChosenAgent> Choose(const OpenRequest& open,
                             const AgentIncarnation* current_agent);
  void SendAttempt(OpenRequest& open, const ChosenAgent& chosen, bool hedge);
  Dispatch MakeDispatch(const OpenRequest& open,
                        const ChosenAgent& chosen) const;
  void StartHedgeTimer(OpenRequest& open);
  void TryHedge(OpenRequest& open);
  void ApplyEvent(OpenRequest& open, const RequestEvent& event);
  void PerformAction(OpenRequest& open, const RequestAction& action);
  void StartNextAttempt(OpenRequest& open, const StartAttempt& action);
  void StartVoid(OpenRequest& open, const DispatchId& dispatch_id);
  void Deliver(OpenRequest& open, const std::string& text);
  void FinishAnswer(OpenRequest& open, const AnswerEnd& end);
  void FinishFailure(OpenRequest& open, const Failure& failure);
  void Close(OpenRequest& open);
  void EndDispatch(const DispatchId& dispatch_id);
  void FailAttempt(const AgentIncarnation& agent,
                   const DispatchId& dispatch_id,
                   bool not_run,
                   Failure failure);
  void RecordEvent(const OpenRequest& open,
                   EventKind kind,
                   const Failure* failure = nullptr,
                   const DispatchId* dispatch_id = nullptr,
                   const EndpointName* endpoint = nullptr);

  ProcessContext& context;
  EndpointLinks& links;
  VoidTask& voids;
  const ConfigView& view;
  std::uint64_t accepted_count = 0;
  std::map<RequestId, std::unique_ptr<OpenRequest>> requests;
  std::map<DispatchId, OpenDispatch> dispatches;
  std::map<std::string, ServiceQueue> queues;
  Budget retry_budget = MakeRetryBudget();
  HedgeState hedges;
  PrefixIndex prefixes;
  bool dispatch_posted = false;
  std::unique_ptr<Timer> dispatch_timer;
};

}  // namespace toucanhollow

#endif  // ENTRY_REQUEST_TASK_H_
