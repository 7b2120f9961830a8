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
// Used until the configuration tells the number of endpoints.
constexpr int kDefaultWriters = 3;
constexpr Duration kDefaultStartBy = Seconds(60);
// A result is appended within a batch interval after its run, so that a repeat
// sent right after the answer finds it in this time unless the log is slow.
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
                     ClaimTaskEvents task_events)
    : context(process_context),
      log(platform_log),
      events(std::move(task_events)),
      agent(MakeClaimAgent(process_context.settings.process,
                           process_context.incarnation,
                           kDefaultWriters,
                           process_context.settings.key_memory)) {
  this->follower = std::make_unique<LogFollower>(
      this->context, this->log, kClaimsStream, 1,
      LogFollowerCallbacks{
          [this](const LogEntry& entry) {
            const DecodedClaims decoded = DecodeClaims(entry);
            this->context.metrics.Count("claims_unreadable", "",
                                        decoded.unreadable);
            this->Take(ReadClaims(std::move(this->agent), decoded.entry,
                                  EventLoop::Now()));
            this->CheckHeld();
          },
          [this](const LogStatus& status) {
            const bool replayed = this->agent.replayed;
            this->agent =
                NoteLogEnd(std::move(this->agent), status.next_offset - 1);
            if (!replayed && this->agent.replayed) {
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

void ClaimTask::SetWriters(int writers) {
  this->agent.batch_interval = ClaimBatchInterval(std::max(1, writers));
}

std::size_t ClaimTask::Unsettled() const {
  return this->agent.pending.size() + this->agent.queue.size() +
         this->agent.outstanding.size() + this->held.size();
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
  keyed.start_by =
      EventLoop::Now() +
      (dispatch.remaining > Duration(0) ? dispatch.remaining : kDefaultStartBy);
  this->open[keyed.id] = keyed;
  this->Take(ReceiveDispatch(std::move(this->agent), keyed,
                             EventLoop::WallNow(), EventLoop::Now()));
  return true;
}

void ClaimTask::Cancel(const DispatchId& dispatch) {
  this->agent = CancelDispatch(std::move(this->agent), dispatch);
  this->open.erase(dispatch);
  this->held.erase(dispatch);
}

void ClaimTask::RunEnded(const DispatchId& dispatch,
                         RunEnd end,
                         int http_status,
                         std::string body) {
  this->Take(RecordRunEnd(std::move(this->agent), dispatch, end, http_status,
                          std::move(body)));
}

void ClaimTask::Take(ClaimStep step) {
  this->agent = std::move(step.agent);
  for (const ClaimAction& action : step.actions) {
    if (const auto* run = std::get_if<RunDispatch>(&action)) {
      this->open.erase(run->dispatch);
      this->events.run(run->dispatch);
    } else if (const auto* answer = std::get_if<AnswerDispatch>(&action)) {
      this->open.erase(answer->dispatch);
      this->events.answer(answer->dispatch, answer->result);
    } else if (const auto* refuse = std::get_if<RefuseDispatch>(&action)) {
      this->Refuse(*refuse);
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

void ClaimTask::Refuse(const RefuseDispatch& refuse) {
  const auto found = this->open.find(refuse.dispatch);
  const bool may_hold = refuse.code == ResultCode::kKeyOutcomeUnknown ||
                        refuse.code == ResultCode::kKeyInProgress;
  if (found != this->open.end() && may_hold) {
    const TimePoint until =
        std::min(EventLoop::Now() + kResultWait, found->second.start_by);
    this->held[refuse.dispatch] = Held{found->second, refuse.code, until};
    this->open.erase(found);
    return;
  }
  this->open.erase(refuse.dispatch);
  this->events.refuse(refuse.dispatch, refuse.code);
}

void ClaimTask::CheckHeld() {
  const TimePoint now = EventLoop::Now();
  std::vector<std::pair<Held, std::optional<ResultRecord>>> ended;
  for (auto entry = this->held.begin(); entry != this->held.end();) {
    const RunDecision decision = DecideRun(
        this->agent.fold, entry->second.dispatch, EventLoop::WallNow());
    const bool answered = decision.kind == RunDecision::Kind::kAnswer;
    if (!answered && now < entry->second.until) {
      ++entry;
      continue;
    }
    ended.emplace_back(entry->second, answered ? std::optional(decision.result)
                                               : std::nullopt);
    entry = this->held.erase(entry);
  }
  for (const auto& [waited, result] : ended) {
    if (result) {
      this->events.answer(waited.dispatch.id, *result);
    } else {
      this->events.refuse(waited.dispatch.id, waited.code);
    }
  }
}

void ClaimTask::SetTimer() {
  auto next = NextClaimWork(this->agent);
  for (const auto& [id, waited] : this->held) {
    next = next ? std::min(*next, waited.until) : waited.until;
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
  this->CheckHeld();
  this->Take(AdvanceClaims(std::move(this->agent), EventLoop::Now()));
}

void ClaimTask::OnAppended(const LogAppendOutcome& outcome) {
  if (outcome.end != AppendEnd::kAppended) {
    this->context.metrics.Count("claim_appends_failed");
    Log(Severity::kWarning, "claims", "an append failed: " + outcome.detail);
  }
  this->Take(RecordAppend(std::move(this->agent), ToAppendOutcome(outcome.end),
                          EventLoop::Now()));
}

}  // namespace toucanhollow
