#include "entry/void_task.h"

#include <algorithm>
#include <utility>

#include "log_codec/claims_codec.h"

namespace toucanhollow {
namespace {

constexpr char kClaimsStream[] = "claims";
// An older end only makes a void read more entries.
constexpr Duration kEndInterval = Seconds(5);
constexpr Duration kAppendRetry = Milliseconds(250);
// Voids that come together, as after the loss of an agent, go in one append.
constexpr std::size_t kMaxVoidBatch = 64;
// A claimed dispatch may still run and answer; its result is waited for.
constexpr Duration kResultWait = Seconds(3);
constexpr Duration kSettleInterval = Milliseconds(100);

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

void VoidTask::StartFollowingEnd() {
  if (!this->end_timer) {
    this->end_timer =
        std::make_unique<Timer>(this->context.loop, Duration(0), kEndInterval,
                                [this] { this->ReadEnd(); });
  }
}

void VoidTask::ReadEnd() {
  this->log.ReadStatus(kClaimsStream, [this, guard = this->alive](
                                          const Result<LogStatus>& status) {
    if (*guard && status) {
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
  this->watched[dispatch] = Watched{WatchVoid(key, dispatch, from), {}};
  this->unappended.push_back(dispatch);
  this->AppendNext();
  if (!this->follower || from < this->follower_next) {
    this->RestartFollower();
  }
  if (!this->settle_timer) {
    this->settle_timer =
        std::make_unique<Timer>(this->context.loop, kSettleInterval,
                                kSettleInterval, [this] { this->Settle(); });
  }
}

void VoidTask::Forget(const DispatchId& dispatch) {
  this->watched.erase(dispatch);
  std::erase(this->unappended, dispatch);
}

void VoidTask::AppendNext() {
  if (this->appending || this->unappended.empty()) {
    return;
  }
  std::vector<DispatchId> batch;
  std::vector<ClaimsRecord> records;
  while (!this->unappended.empty() && batch.size() < kMaxVoidBatch) {
    const DispatchId dispatch = this->unappended.back();
    this->unappended.pop_back();
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
      [this, batch, guard = this->alive](const LogAppendOutcome& outcome) {
        if (*guard) {
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
  // A second void of the same dispatch changes nothing.
  this->unappended.insert(this->unappended.end(), batch.begin(), batch.end());
  this->retry_timer =
      std::make_unique<Timer>(this->context.loop, kAppendRetry, Duration(0),
                              [this] { this->AppendNext(); });
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
        FoldForVoid(std::move(watched_entry.watch), decoded.entry);
    decided = decided ||
              OutcomeOf(watched_entry.watch) != DispatchOutcome::kUndecided;
  }
  if (decided) {
    // Later, because settling may destroy the follower that calls.
    Post(this->context.loop, [this, guard = this->alive] {
      if (*guard) {
        this->Settle();
      }
    });
  }
}

void VoidTask::Settle() {
  const TimePoint now = EventLoop::Now();
  std::vector<VoidWatch> done;
  for (auto& [dispatch, entry] : this->watched) {
    const DispatchOutcome outcome = OutcomeOf(entry.watch);
    if (outcome == DispatchOutcome::kUndecided) {
      continue;
    }
    if (outcome == DispatchOutcome::kUnknown) {
      if (!entry.unknown_since) {
        entry.unknown_since = now;
      }
      if (now - *entry.unknown_since < kResultWait) {
        continue;
      }
    }
    done.push_back(entry.watch);
  }
  for (const VoidWatch& watch : done) {
    this->Forget(watch.dispatch);
    this->settled(watch);
  }
  if (this->watched.empty()) {
    this->follower.reset();
    this->settle_timer.reset();
  }
}

}  // namespace toucanhollow
