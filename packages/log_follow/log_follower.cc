#include "log_follow/log_follower.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

constexpr std::size_t kMaxEntries = 512;

}  // namespace

struct LogFollower::State
    : public std::enable_shared_from_this<LogFollower::State> {
  State(ProcessContext& process_context, PlatformLog& platform_log)
      : context(process_context), log(platform_log) {}

  void Read();
  void OnBatch(const Result<LogBatch>& batch);
  void SkipDropped();
  void OnFailure();
  void SetReachable(bool now_reachable);

  ProcessContext& context;
  PlatformLog& log;
  std::string stream;
  LogOffset next = 1;
  LogFollowerEvents events;
  bool reachable = false;
  Duration backoff = kFirstLogRetry;
  std::unique_ptr<Timer> retry;
};

void LogFollower::State::Read() {
  // The first read does not wait, so that the log's state is known at once.
  this->log.Read(
      this->stream, this->next, kMaxEntries,
      this->reachable ? kLogPollWait : Duration(0),
      [weak = this->weak_from_this()](const Result<LogBatch>& batch) {
        if (const auto self = weak.lock()) {
          self->OnBatch(batch);
        }
      });
}

void LogFollower::State::SetReachable(bool now_reachable) {
  if (std::exchange(this->reachable, now_reachable) == now_reachable) {
    return;
  }
  Event event;
  event.kind = now_reachable ? EventKind::kLogUp : EventKind::kLogDown;
  event.subject = this->stream;
  this->context.Record(std::move(event));
  if (this->events.reachable) {
    this->events.reachable(now_reachable);
  }
}

void LogFollower::State::OnBatch(const Result<LogBatch>& batch) {
  if (!batch) {
    if (batch.error().code == ResultCode::kLogOffsetDropped) {
      this->SkipDropped();
    } else {
      this->OnFailure();
    }
    return;
  }
  this->backoff = kFirstLogRetry;
  this->SetReachable(true);
  for (const LogEntry& entry : batch.value().entries) {
    if (entry.offset >= this->next) {
      this->next = entry.offset + 1;
      this->events.entry(entry);
    }
  }
  if (this->events.status) {
    this->events.status(batch.value().status);
  }
  this->Read();
}

void LogFollower::State::SkipDropped() {
  this->log.ReadStatus(this->stream, [weak = this->weak_from_this()](
                                         const Result<LogStatus>& status) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!status || status.value().first_offset <= self->next) {
      self->OnFailure();
      return;
    }
    self->next = status.value().first_offset;
    self->Read();
  });
}

void LogFollower::State::OnFailure() {
  this->SetReachable(false);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const auto delay = std::chrono::duration_cast<Duration>(
      this->backoff * jitter(this->context.random));
  this->backoff = std::min(this->backoff * 2, kLastLogRetry);
  this->retry = std::make_unique<Timer>(this->context.loop, delay, Duration(0),
                                        [weak = this->weak_from_this()] {
                                          if (const auto self = weak.lock()) {
                                            self->Read();
                                          }
                                        });
}

LogFollower::LogFollower(ProcessContext& context,
                         PlatformLog& log,
                         std::string stream,
                         LogOffset from,
                         LogFollowerEvents events)
    : state(std::make_shared<State>(context, log)) {
  this->state->stream = std::move(stream);
  this->state->next = from;
  this->state->events = std::move(events);
  this->state->Read();
}

LogFollower::~LogFollower() = default;

bool LogFollower::IsReachable() const {
  return this->state->reachable;
}

}  // namespace toucanhollow
