#include "event_loop/event_loop.h"

#include <ev.h>
#include <time.h>
#include <unistd.h>

#include <exception>
#include <iostream>
#include <utility>

#include "base/check.h"

namespace toucanhollow {

EventLoop::EventLoop() : loop(ev_loop_new(EVBACKEND_EPOLL)) {
  InternalCheck(this->loop != nullptr, "libev loop is created");
  this->SetUncaughtExceptionHandler([](std::string_view what) {
    std::cerr << "an exception escaped a callback of the event loop: " << what
              << "\n";
  });
  ev_set_userdata(this->loop, &this->uncaught_handler);
}

void EventLoop::SetUncaughtExceptionHandler(
    std::function<void(std::string_view)> handler) {
  this->uncaught_handler = std::move(handler);
}

namespace {

void CallHandler(struct ev_loop* loop, const std::exception_ptr& exception) {
  const auto& handler =
      *static_cast<std::function<void(std::string_view)>*>(ev_userdata(loop));
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    handler(error.what());
  } catch (...) {
    handler("an exception that is not a std::exception");
  }
}

}  // namespace

void detail::ReportUncaughtException(
    struct ev_loop* loop,
    const std::exception_ptr& exception) noexcept {
  try {
    CallHandler(loop, exception);
  } catch (...) {
    // The handler allocates memory, which may be what was missing.
    constexpr std::string_view kText =
        "an exception could not be reported to its handler\n";
    [[maybe_unused]] const ssize_t written =
        write(STDERR_FILENO, kText.data(), kText.size());
  }
}

struct detail::PostedFunction {
  ev_timer watcher;
  std::function<void()> function;
  std::list<PostedFunction>* owner;
  std::list<PostedFunction>::iterator position;
};

EventLoop::~EventLoop() {
  // Destroying a function may post another one.
  while (!this->posted.empty()) {
    std::list<detail::PostedFunction> first;
    first.splice(first.begin(), this->posted, this->posted.begin());
    ev_timer_stop(this->loop, &first.front().watcher);
  }
  ev_loop_destroy(this->loop);
}

void EventLoop::Run() {
  ev_run(this->loop, 0);
}

void EventLoop::Stop() {
  ev_break(this->loop, EVBREAK_ALL);
}

TimePoint EventLoop::Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

BootTime EventLoop::BootNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTime(Seconds(time.tv_sec) +
                  std::chrono::duration_cast<Duration>(
                      std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime EventLoop::WallNow() {
  return WallTime(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

namespace {

// Signals have EV_MAXPRI.
constexpr int kFirstIoPriority = 1;
constexpr int kIoPriority = 0;
constexpr int kTimerPriority = -1;
static_assert(kFirstIoPriority < EV_MAXPRI && kTimerPriority >= EV_MINPRI);

// A timer that is later than this shows that the process did not run.
constexpr Duration kMaxTimerDelay = Milliseconds(50);

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

int ToEvents(IoWatcher::Interest interest) {
  return ((interest & IoWatcher::kRead) != 0 ? EV_READ : 0) |
         ((interest & IoWatcher::kWrite) != 0 ? EV_WRITE : 0);
}

}  // namespace

struct IoWatcher::State {
  struct ev_loop* loop;
  ev_io watcher;
  std::function<void(Interest)> ready;
};

IoWatcher::IoWatcher(EventLoop& loop,
                     int file_descriptor,
                     Interest interest,
                     std::function<void(Interest ready)> ready,
                     Order order)
    : state(std::make_unique<State>()) {
  this->state->loop = loop.raw();
  this->state->ready = std::move(ready);
  ev_io_init(
      &this->state->watcher,
      [](struct ev_loop* loop, ev_io* watcher, int events) {
        auto* self = static_cast<State*>(watcher->data);
        const int ready = ((events & EV_READ) != 0 ? kRead : kNone) |
                          ((events & EV_WRITE) != 0 ? kWrite : kNone);
        RunGuarded(loop, [self, ready] {
          // The callback may destroy this watcher.
          const auto callback = self->ready;
          callback(static_cast<Interest>(ready));
        });
      },
      file_descriptor, ToEvents(interest));
  ev_set_priority(&this->state->watcher,
                  order == Order::kFirst ? kFirstIoPriority : kIoPriority);
  this->state->watcher.data = this->state.get();
  if (interest != kNone) {
    ev_io_start(this->state->loop, &this->state->watcher);
  }
}

IoWatcher::~IoWatcher() {
  ev_io_stop(this->state->loop, &this->state->watcher);
}

void IoWatcher::SetInterest(Interest interest) {
  ev_io* watcher = &this->state->watcher;
  ev_io_stop(this->state->loop, watcher);
  ev_io_set(watcher, watcher->fd, ToEvents(interest));
  if (interest != kNone) {
    ev_io_start(this->state->loop, watcher);
  }
}

struct Timer::State {
  EventLoop& loop;
  ev_timer watcher;
  std::function<void()> expired;
  Duration repeat{0};
  TimePoint due_at;
  bool is_postponed = false;

  explicit State(EventLoop& loop) : loop(loop) {}
  // Returns true if the timers of this turn are late and the call was postponed
  // to the next turn.
  bool PostponeIfLate();
  void OnExpired();
};

bool Timer::State::PostponeIfLate() {
  if (std::exchange(this->is_postponed, false)) {
    return false;
  }
  // Timers that expired together are called in the order in which they were
  // due, so the first one decides for the turn.
  const unsigned int turn = ev_iteration(this->loop.loop);
  const Duration delay = EventLoop::Now() - this->due_at;
  if (delay >= kMaxTimerDelay) {
    this->loop.late_turn = turn;
  }
  if (this->loop.late_turn != turn) {
    return false;
  }
  this->is_postponed = true;
  ev_timer_stop(this->loop.loop, &this->watcher);
  ev_timer_set(&this->watcher, -ToSeconds(delay), ToSeconds(this->repeat));
  ev_timer_start(this->loop.loop, &this->watcher);
  return true;
}

void Timer::State::OnExpired() {
  if (this->PostponeIfLate()) {
    return;
  }
  this->due_at = EventLoop::Now() + this->repeat;
  // The callback may destroy this timer.
  const auto callback = this->expired;
  callback();
}

Timer::Timer(EventLoop& loop,
             Duration delay,
             Duration repeat,
             std::function<void()> expired)
    : state(std::make_unique<State>(loop)) {
  this->state->expired = std::move(expired);
  this->state->repeat = repeat;
  this->state->due_at = EventLoop::Now() + delay;
  ev_timer_init(
      &this->state->watcher,
      [](struct ev_loop* loop, ev_timer* watcher, int) {
        RunGuarded(loop, [watcher] {
          static_cast<State*>(watcher->data)->OnExpired();
        });
      },
      ToSeconds(delay), ToSeconds(repeat));
  ev_set_priority(&this->state->watcher, kTimerPriority);
  this->state->watcher.data = this->state.get();
  // libev starts timers from its cached time, which lags after long callbacks.
  ev_now_update(loop.raw());
  ev_timer_start(loop.raw(), &this->state->watcher);
}

Timer::~Timer() {
  ev_timer_stop(this->state->loop.raw(), &this->state->watcher);
}

struct SignalWatcher::State {
  struct ev_loop* loop;
  ev_signal watcher;
  std::function<void()> received;
};

SignalWatcher::SignalWatcher(EventLoop& loop,
                             int signal,
                             std::function<void()> received)
    : state(std::make_unique<State>()) {
  this->state->loop = loop.raw();
  this->state->received = std::move(received);
  ev_signal_init(
      &this->state->watcher,
      [](struct ev_loop* loop, ev_signal* watcher, int) {
        RunGuarded(loop, [watcher] {
          const auto callback = static_cast<State*>(watcher->data)->received;
          callback();
        });
      },
      signal);
  // A stop that arrived before this turn of the loop is handled before the
  // turn's other events.
  ev_set_priority(&this->state->watcher, EV_MAXPRI);
  this->state->watcher.data = this->state.get();
  ev_signal_start(this->state->loop, &this->state->watcher);
}

SignalWatcher::~SignalWatcher() {
  ev_signal_stop(this->state->loop, &this->state->watcher);
}

void Post(EventLoop& loop, std::function<void()> function) {
  auto& posted = loop.posted;
  const auto added = posted.insert(posted.end(), detail::PostedFunction{});
  added->function = std::move(function);
  added->owner = &posted;
  added->position = added;
  ev_timer_init(
      &added->watcher,
      [](struct ev_loop* loop, ev_timer* watcher, int) {
        auto* added = static_cast<detail::PostedFunction*>(watcher->data);
        std::list<detail::PostedFunction> running;
        running.splice(running.begin(), *added->owner, added->position);
        RunGuarded(loop, running.front().function);
      },
      0.0, 0.0);
  ev_set_priority(&added->watcher, kTimerPriority);
  added->watcher.data = &*added;
  ev_timer_start(loop.raw(), &added->watcher);
}

}  // namespace toucanhollow
