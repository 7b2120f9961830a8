#include "entry/void_task.h"

#include <algorithm>
#include <utility>

#include "log_codec/claims_codec.h"

namespace toucanhollow {
namespace {

constexpr char kClaimsStream[] = "claims";
// A stale end only makes a void read more entries.
constexpr Duration kClaimsEndReadInterval = Seconds(5);
constexpr Duration kAppendRetryDelay = Milliseconds(250);
// Voids that start at the same time, as after the loss of an agent, share one
// append.
constexpr std::size_t kMaxVoidBatch = 64;
// A claimed dispatch may still be running, so its result is awaited this long
// before its outcome is reported as unknown.
constexpr Duration kMaxResultWait = Seconds(3);
constexpr Duration kSettleCheckInterval = Milliseconds(100);

}  // namespace

VoidTask::VoidTask(ProcessContext& process_context,
                   PlatformLog& platform_log,
                   std::function<void(const VoidWatch&)> on_settled)
    : context(process_context),
      log(platform_log),
      settled(std::move(on_settled)) {}

VoidTask::~VoidTask() {
  *this->alive = false;
}

void VoidTask::StartPollingClaimsEnd() {
  if (!this->claims_end_timer) {
    this->claims_end_timer = std::make_unique<Timer>(
        this->context.loop, Duration(0), kClaimsEndReadInterval,
        [this] { this->ReadClaimsEnd(); });
  }
}

void VoidTask::ReadClaimsEnd() {
  this->log.ReadStatus(kClaimsStream, [this, alive_flag = this->alive](
                                          const Result<LogStatus>& status) {
    if (*alive_flag && status) {
      this->claims_end = status.value().next_offset;
    }
  });
}

std::optional<LogOffset> VoidTask::ClaimsEnd() const {
  return this->claims_end;
}

void VoidTask::Void(const ScopedKey& key,
                    const DispatchId& dispatch,
                    LogOffset from) {
  this->watched[dispatch] =
      WatchedDispatch{MakeVoidWatch(key, dispatch, from), {}};
  this->pending_appends.push_back(dispatch);
  this->AppendNext();
  if (!this->follower || from < this->follower_next) {
    this->RestartFollower();
  }
  if (!this->settle_timer) {
    this->settle_timer = std::make_unique<Timer>(
        this->context.loop, kSettleCheckInterval, kSettleCheckInterval,
        [this] { this->ReportSettled(); });
  }
}

void VoidTask::StopWatching(const DispatchId& dispatch) {
  this->watched.erase(dispatch);
  std::erase(this->pending_appends, dispatch);
}

void VoidTask::AppendNext() {
  if (this->appending || this->pending_appends.empty()) {
    return;
  }
  std::vector<DispatchId> batch;
  std::vector<ClaimsRecord> records;
  while (!this->pending_appends.empty() && batch.size() < kMaxVoidBatch) {
    const DispatchId dispatch = this->pending_appends.back();
    this->pending_appends.pop_back();
    const auto found = this->watched.find(dispatch);
    if (found != this->watched.end()) {
      records.emplace_back(VoidRecord{found->second.watch.key, dispatch});
      batch.push_back(dispatch);
    }
  }
  if (records.empty()) {
    return;
  }
  this->appending = true;
  this->context.metrics.Count("void_appends");
  this->log.Append(
      kClaimsStream, {EncodeClaims(records)}, "",
      [this, batch, alive_flag = this->alive](const LogAppendOutcome& outcome) {
        if (*alive_flag) {
          this->OnAppended(batch, outcome);
        }
      });
}

void VoidTask::OnAppended(const std::vector<DispatchId>& batch,
                          const LogAppendOutcome& outcome) {
  this->appending = false;
  if (outcome.end == AppendEnd::kAppended) {
    this->AppendNext();
    return;
  }
  // The append may have succeeded in spite of the error; appending it again is
  // safe, because a second void of the same dispatch has no effect.
  this->pending_appends.insert(this->pending_appends.end(), batch.begin(),
                               batch.end());
  this->retry_timer =
      std::make_unique<Timer>(this->context.loop, kAppendRetryDelay,
                              Duration(0), [this] { this->AppendNext(); });
}

void VoidTask::RestartFollower() {
  this->follower_next = this->watched.begin()->second.watch.next_offset;
  for (const auto& [dispatch, entry] : this->watched) {
    this->follower_next =
        std::min(this->follower_next, entry.watch.next_offset);
  }
  this->follower = std::make_unique<LogFollower>(
      this->context, this->log, kClaimsStream, this->follower_next,
      LogFollowerCallbacks{
          [this](const LogEntry& entry) { this->OnEntry(entry); }, nullptr,
          nullptr});
}

void VoidTask::OnEntry(const LogEntry& entry) {
  this->follower_next = entry.offset + 1;
  const DecodedClaims decoded = DecodeClaims(entry);
  bool decided = false;
  for (auto& [dispatch, watched_entry] : this->watched) {
    watched_entry.watch =
        UpdateVoidWatch(std::move(watched_entry.watch), decoded.entry);
    decided = decided || GetDispatchOutcome(watched_entry.watch) !=
                             DispatchOutcome::kUndecided;
  }
  if (decided) {
    // Posted, because ReportSettled may destroy the follower that is calling.
    Post(this->context.loop, [this, alive_flag = this->alive] {
      if (*alive_flag) {
        this->ReportSettled();
      }
    });
  }
}

void VoidTask::ReportSettled() {
  const TimePoint now = EventLoop::Now();
  std::vector<VoidWatch> settled_watches;
  for (auto& [dispatch, entry] : this->watched) {
    const DispatchOutcome outcome = GetDispatchOutcome(entry.watch);
    if (outcome == DispatchOutcome::kUndecided) {
      continue;
    }
    if (outcome == DispatchOutcome::kUnknown) {
      if (!entry.unknown_since) {
        entry.unknown_since = now;
      }
      if (now - *entry.unknown_since < kMaxResultWait) {
        continue;
      }
    }
    settled_watches.push_back(entry.watch);
  }
  for (const VoidWatch& watch : settled_watches) {
    this->StopWatching(watch.dispatch);
    this->settled(watch);
  }
  if (this->watched.empty()) {
    this->follower.reset();
    this->settle_timer.reset();
  }
}

}  // namespace toucanhollow
