#include "agent/claim_task.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "idempotency/claim_rate.h"
#include "idempotency/decide_run.h"
#include "log_codec/claims_codec.h"
#include "log_text/log.h"

namespace toucanhollow {
namespace {

constexpr char kClaimsStream[] = "claims";
// Used until the configuration provides the number of endpoints.
constexpr int kDefaultWriterCount = 3;
constexpr Duration kDefaultStartTimeout = Seconds(60);
// A result is appended within one batch interval after its run. A repeat that
// is sent right after the answer therefore finds the result within this time,
// unless the log is slow.
constexpr Duration kResultWait = Seconds(1);

AppendOutcome ToAppendOutcome(AppendEnd end) {
  switch (end) {
    case AppendEnd::kAppended:
      return AppendOutcome::kAcknowledged;
    case AppendEnd::kNotAppended:
      return AppendOutcome::kFailed;
    case AppendEnd::kMaybeAppended:
      break;
  }
  return AppendOutcome::kLost;
}

}  // namespace

ClaimTask::ClaimTask(ProcessContext& process_context,
                     PlatformLog& platform_log,
                     ClaimTaskCallbacks task_callbacks)
    : context(process_context),
      log(platform_log),
      callbacks(std::move(task_callbacks)),
      agent(MakeClaimAgent(process_context.settings.process,
                           process_context.incarnation,
                           kDefaultWriterCount,
                           process_context.settings.key_memory)) {
  this->follower = std::make_unique<LogFollower>(
      this->context, this->log, kClaimsStream, 1,
      LogFollowerCallbacks{
          [this](const LogEntry& entry) {
            const DecodedClaims decoded = DecodeClaims(entry);
            this->context.metrics.Count("claims_unreadable", "",
                                        decoded.unreadable);
            this->ApplyStep(ReadClaims(std::move(this->agent), decoded.entry,
                                       EventLoop::Now()));
            this->ResolveDeferredRefusals();
          },
          [this](const LogStatus& status) {
            const bool log_replayed = this->agent.log_replayed;
            this->agent = ObserveClaimLogEnd(std::move(this->agent),
                                             status.next_offset - 1);
            if (!log_replayed && this->agent.log_replayed) {
              Log(Severity::kInfo, "claims",
                  "replayed the log up to offset " +
                      std::to_string(status.next_offset - 1));
            }
          },
          nullptr});
}

ClaimTask::~ClaimTask() {
  *this->alive = false;
}

void ClaimTask::SetWriterCount(int writer_count) {
  this->agent.batch_interval = ClaimBatchInterval(std::max(1, writer_count));
}

std::size_t ClaimTask::CountUnsettled() const {
  return this->agent.pending.size() + this->agent.queue.size() +
         this->agent.outstanding.size() + this->deferred_refusals.size();
}

Result<bool> ClaimTask::Receive(const Dispatch& dispatch) {
  Result<ScopedKey> key =
      ParseKey(dispatch.account, dispatch.service, dispatch.idempotency_key);
  if (!key) {
    return key.error();
  }
  KeyedDispatch keyed;
  keyed.id = dispatch.dispatch_id;
  keyed.key = std::move(key).value();
  keyed.digest = RequestDigest(dispatch.method, dispatch.path, dispatch.body);
  keyed.receiver = dispatch.receiver;
  keyed.start_by = EventLoop::Now() + (dispatch.remaining > Duration(0)
                                           ? dispatch.remaining
                                           : kDefaultStartTimeout);
  this->undecided[keyed.id] = keyed;
  this->ApplyStep(ReceiveDispatch(std::move(this->agent), keyed,
                                  EventLoop::WallNow(), EventLoop::Now()));
  return true;
}

void ClaimTask::Cancel(const DispatchId& dispatch) {
  this->agent = CancelDispatch(std::move(this->agent), dispatch);
  this->undecided.erase(dispatch);
  this->deferred_refusals.erase(dispatch);
}

void ClaimTask::HandleRunEnd(const DispatchId& dispatch,
                             RunEnd end,
                             int http_status,
                             std::string body) {
  this->ApplyStep(RecordRunEnd(std::move(this->agent), dispatch, end,
                               http_status, std::move(body)));
}

void ClaimTask::ApplyStep(ClaimStep step) {
  this->agent = std::move(step.agent);
  for (const ClaimAction& action : step.actions) {
    if (const auto* run = std::get_if<RunDispatch>(&action)) {
      this->undecided.erase(run->dispatch);
      this->callbacks.on_run(run->dispatch);
    } else if (const auto* answer = std::get_if<AnswerDispatch>(&action)) {
      this->undecided.erase(answer->dispatch);
      this->callbacks.on_answer(answer->dispatch, answer->result);
    } else if (const auto* refuse = std::get_if<RefuseDispatch>(&action)) {
      this->RefuseOrDefer(*refuse);
    } else if (const auto* append = std::get_if<AppendClaims>(&action)) {
      this->context.metrics.Count("claim_appends");
      this->log.Append(
          kClaimsStream, {EncodeClaims(append->records)}, "",
          [this, guard = this->alive](const LogAppendOutcome& outcome) {
            if (*guard) {
              this->OnAppended(outcome);
            }
          });
    }
  }
  this->SetTimer();
}

void ClaimTask::RefuseOrDefer(const RefuseDispatch& refuse) {
  const auto found = this->undecided.find(refuse.dispatch);
  const bool can_defer = refuse.code == ResultCode::kKeyOutcomeUnknown ||
                         refuse.code == ResultCode::kKeyInProgress;
  if (found != this->undecided.end() && can_defer) {
    const TimePoint deadline =
        std::min(EventLoop::Now() + kResultWait, found->second.start_by);
    this->deferred_refusals[refuse.dispatch] =
        DeferredRefusal{found->second, refuse.code, deadline};
    this->undecided.erase(found);
    return;
  }
  this->undecided.erase(refuse.dispatch);
  this->callbacks.on_refuse(refuse.dispatch, refuse.code);
}

void ClaimTask::ResolveDeferredRefusals() {
  const TimePoint now = EventLoop::Now();
  std::vector<std::pair<DeferredRefusal, std::optional<ResultRecord>>> resolved;
  for (auto entry = this->deferred_refusals.begin();
       entry != this->deferred_refusals.end();) {
    const RunDecision decision = DecideRun(
        this->agent.fold, entry->second.dispatch, EventLoop::WallNow());
    const bool answered = decision.kind == RunDecision::Kind::kAnswer;
    if (!answered && now < entry->second.deadline) {
      ++entry;
      continue;
    }
    resolved.emplace_back(entry->second, answered
                                             ? std::optional(decision.result)
                                             : std::nullopt);
    entry = this->deferred_refusals.erase(entry);
  }
  for (const auto& [refusal, result] : resolved) {
    if (result) {
      this->callbacks.on_answer(refusal.dispatch.id, *result);
    } else {
      this->callbacks.on_refuse(refusal.dispatch.id, refusal.code);
    }
  }
}

void ClaimTask::SetTimer() {
  auto next = NextClaimWorkTime(this->agent);
  for (const auto& [id, refusal] : this->deferred_refusals) {
    next = next ? std::min(*next, refusal.deadline) : refusal.deadline;
  }
  if (!next) {
    this->timer.reset();
    return;
  }
  const Duration delay = std::max(Duration(0), *next - EventLoop::Now());
  this->timer = std::make_unique<Timer>(this->context.loop, delay, Duration(0),
                                        [this] { this->Advance(); });
}

void ClaimTask::Advance() {
  this->ResolveDeferredRefusals();
  this->ApplyStep(AdvanceClaims(std::move(this->agent), EventLoop::Now()));
}

void ClaimTask::OnAppended(const LogAppendOutcome& outcome) {
  if (outcome.end != AppendEnd::kAppended) {
    this->context.metrics.Count("claim_appends_failed");
    Log(Severity::kWarning, "claims",
        "claim records not appended to the log: " + outcome.detail);
  }
  this->ApplyStep(RecordAppend(std::move(this->agent),
                               ToAppendOutcome(outcome.end), EventLoop::Now()));
}

}  // namespace toucanhollow
