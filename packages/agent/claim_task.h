// Claims keyed non-repeatable dispatches in the platform's log before they run,
// and keeps their results there.
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

struct ClaimTaskEvents {
  // The dispatch's claim holds its key: run it now.
  std::function<void(const DispatchId& dispatch)> run;
  // The kept answer of an earlier run.
  std::function<void(const DispatchId& dispatch, const ResultRecord& result)>
      answer;
  // Refused (1100-1199) or unknown (1200-1299).
  std::function<void(const DispatchId& dispatch, ResultCode code)> refuse;
};

class ClaimTask {
 public:
  ClaimTask(ProcessContext& context, PlatformLog& log, ClaimTaskEvents events);
  ~ClaimTask();

  // Events may come from inside. Fails with kKeyMalformed.
  Result<bool> Receive(const Dispatch& dispatch);
  void Cancel(const DispatchId& dispatch);
  void RunEnded(const DispatchId& dispatch,
                RunEnd end,
                int http_status,
                std::string body);
  // Endpoints of all plain services, which share the rate of appends.
  void SetWriters(int writers);
  // Dispatches and records that the log has not settled.
  std::size_t Unsettled() const;

 private:
  // A dispatch whose key another dispatch holds. Its result may be on the way
  // to the log, so that it is waited for shortly.
  struct Held {
    KeyedDispatch dispatch;
    ResultCode code;
    TimePoint until;
  };
  void Take(ClaimStep step);
  void Refuse(const RefuseDispatch& refuse);
  void CheckHeld();
  void Advance();
  void SetTimer();
  void OnAppended(const LogAppendOutcome& outcome);

  ProcessContext& context;
  PlatformLog& log;
  ClaimTaskEvents events;
  ClaimAgent agent;
  // Received and not yet run, answered or refused.
  std::map<DispatchId, KeyedDispatch> open;
  std::map<DispatchId, Held> held;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<LogFollower> follower;
  // Guards callbacks of the log against a destroyed task.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace toucanhollow

#endif  // AGENT_CLAIM_TASK_H_
