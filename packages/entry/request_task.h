// The requests that this entry host has accepted: each from its acceptance to
// its one outcome.
#ifndef ENTRY_REQUEST_TASK_H_
#define ENTRY_REQUEST_TASK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "caller_api/caller_request.h"
#include "entry/endpoint_links.h"
#include "http_server/http_response_writer.h"
#include "request/on_event.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

class RequestTask {
 public:
  RequestTask(ProcessContext& context, EndpointLinks& links);
  ~RequestTask();

  // Takes the request and answers it later.
  void Accept(CallerRequest request,
              std::shared_ptr<HttpResponseWriter> writer);
  // A message of an agent about a dispatch.
  void OnMessage(const AgentRun& agent, Message message);
  void OnLost(const AgentRun& agent);
  std::size_t OpenRequests() const;

 private:
  struct Open;

  void Apply(Open& open, const RequestEvent& event);
  void Perform(Open& open, const RequestAction& action);
  void StartAttemptNow(Open& open, const StartAttempt& action);
  void Deliver(Open& open, const std::string& text);
  void FinishAnswer(Open& open, const AnswerEnd& end);
  void FinishFailure(Open& open, const Failure& failure);
  void Close(Open& open);
  void EndDispatch(const DispatchId& dispatch_id);
  Event MakeEvent(const Open& open, EventKind kind) const;

  ProcessContext& context;
  EndpointLinks& links;
  std::uint64_t accepted = 0;
  std::map<RequestId, std::unique_ptr<Open>> requests;
  struct OpenDispatch {
    RequestId request;
    AgentRun agent;
  };
  std::map<DispatchId, OpenDispatch> dispatches;
};

}  // namespace toucanhollow

#endif  // ENTRY_REQUEST_TASK_H_
