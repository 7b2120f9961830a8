// Claims non-repeatable dispatches that have an idempotency key in the
// platform's log before they run, and stores their results there.
#ifndef AGENT_CLAIM_TASK_H_
#define AGENT_CLAIM_TASK_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/name.h"
#include "base/result.h"
#include "http_client/http_client.h"
#include "idempotency/claim_agent.h"
#include "log_follow/log_follower.h"
#include "platform_log/platform_log.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

struct ClaimTaskCallbacks {
  // The dispatch's claim holds its key, so the dispatch is to be run now.
  std::function<void(const DispatchId& dispatch)> on_run;
  // An earlier run with this key has a stored answer.
  std::function<void(const DispatchId& dispatch, const ResultRecord& result)>
      on_answer;
  // The dispatch is refused (codes 1100-1199) or its outcome is unknown
  // (codes 1200-1299).
  std::function<void(const DispatchId& dispatch, ResultCode code)> on_refuse;
};

class ClaimTask {
 public:
  ClaimTask(ProcessContext& context,
            PlatformLog& log,
            ClaimTaskCallbacks callbacks);
  ~ClaimTask();

  // May call the callbacks before it returns. Fails with kKeyMalformed.
  Result<bool> Receive(const Dispatch& dispatch);
  void Cancel(const DispatchId& dispatch);
  void HandleRunEnd(const DispatchId& dispatch,
                    RunEnd end,
                    int http_status,
                    std::string body);
  // Sets the number of endpoints of all plain services. They share the log's
  // append rate.
  void SetWriterCount(int writer_count);
  // Counts the dispatches and records that the log has not yet settled.
  std::size_t CountUnsettled() const;

 private:
  // A dispatch whose key another dispatch holds. The result of the other one
  // may be on its way to the log, so the refusal is deferred for a short time.
  struct DeferredRefusal {
    KeyedDispatch dispatch;
    ResultCode code;
    TimePoint deadline;
  };
  void ApplyStep(ClaimStep step);
  void RefuseOrDefer(const RefuseDispatch& refuse);
  void ResolveDeferredRefusals();
  void Advance();
  void SetTimer();
  void OnAppended(const LogAppendOutcome& outcome);

  ProcessContext& context;
  PlatformLog& log;
  ClaimTaskCallbacks callbacks;
  ClaimAgent agent;
  // Dispatches received and not yet run, answered, refused or deferred.
  std::map<DispatchId, KeyedDispatch> undecided;
  std::map<DispatchId, DeferredRefusal> deferred_refusals;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<LogFollower> follower;
  // Set to false by the destructor, so that later log callbacks do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace toucanhollow

#endif  // AGENT_CLAIM_TASK_H_
