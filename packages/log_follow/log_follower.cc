#include "log_follow/log_follower.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

constexpr std::size_t kMaxEntriesPerRead = 512;

}  // namespace

struct LogFollower::State
    : public std::enable_shared_from_this<LogFollower::State> {
  State(ProcessContext& process_context, PlatformLog& platform_log)
      : context(process_context), log(platform_log) {}

  void Read();
  void HandleBatch(const Result<LogBatch>& batch);
  void SkipDroppedEntries();
  void HandleReadFailure();
  void SetReachable(bool is_reachable);

  ProcessContext& context;
  PlatformLog& log;
  std::string stream;
  LogOffset next_offset = 1;
  LogFollowerCallbacks callbacks;
  bool reachable = false;
  Duration retry_delay = kInitialLogRetryDelay;
  std::unique_ptr<Timer> retry_timer;
};

void LogFollower::State::Read() {
  // While the log is not known to be reachable, a read does not wait, so that
  // the state of the log is known immediately.
  this->log.Read(
      this->stream, this->next_offset, kMaxEntriesPerRead,
      this->reachable ? kLogPollWait : Duration(0),
      [weak = this->weak_from_this()](const Result<LogBatch>& batch) {
        if (const auto self = weak.lock()) {
          self->HandleBatch(batch);
        }
      });
}

void LogFollower::State::SetReachable(bool is_reachable) {
  if (std::exchange(this->reachable, is_reachable) == is_reachable) {
    return;
  }
  Event event;
  event.kind = is_reachable ? EventKind::kLogUp : EventKind::kLogDown;
  event.subject = this->stream;
  this->context.Record(std::move(event));
  if (this->callbacks.on_reachable_change) {
    this->callbacks.on_reachable_change(is_reachable);
  }
}

void LogFollower::State::HandleBatch(const Result<LogBatch>& batch) {
  if (!batch) {
    if (batch.error().code == ResultCode::kLogOffsetDropped) {
      this->SkipDroppedEntries();
    } else {
      this->HandleReadFailure();
    }
    return;
  }
  this->retry_delay = kInitialLogRetryDelay;
  this->SetReachable(true);
  for (const LogEntry& entry : batch.value().entries) {
    if (entry.offset >= this->next_offset) {
      this->next_offset = entry.offset + 1;
      this->callbacks.on_entry(entry);
    }
  }
  if (this->callbacks.on_status) {
    this->callbacks.on_status(batch.value().status);
  }
  this->Read();
}

void LogFollower::State::SkipDroppedEntries() {
  this->log.ReadStatus(this->stream, [weak = this->weak_from_this()](
                                         const Result<LogStatus>& status) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!status || status.value().first_offset <= self->next_offset) {
      self->HandleReadFailure();
      return;
    }
    self->next_offset = status.value().first_offset;
    self->Read();
  });
}

void LogFollower::State::HandleReadFailure() {
  this->SetReachable(false);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const auto delay = std::chrono::duration_cast<Duration>(
      this->retry_delay * jitter(this->context.random));
  this->retry_delay = std::min(this->retry_delay * 2, kMaxLogRetryDelay);
  this->retry_timer = std::make_unique<Timer>(
      this->context.loop, delay, Duration(0), [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->Read();
        }
      });
}

LogFollower::LogFollower(ProcessContext& context,
                         PlatformLog& log,
                         std::string stream,
                         LogOffset from,
                         LogFollowerCallbacks callbacks)
    : state(std::make_shared<State>(context, log)) {
  this->state->stream = std::move(stream);
  this->state->next_offset = from;
  this->state->callbacks = std::move(callbacks);
  this->state->Read();
}

LogFollower::~LogFollower() = default;

bool LogFollower::IsReachable() const {
  return this->state->reachable;
}

}  // namespace toucanhollow
