// A libev event loop for one thread. Tasks register watchers with it. Only this
// package and the packages that own sockets include ev.h.
#ifndef EVENT_LOOP_EVENT_LOOP_H_
#define EVENT_LOOP_EVENT_LOOP_H_

#include <exception>
#include <functional>
#include <list>
#include <memory>
#include <string_view>

#include "base/time.h"

struct ev_loop;

namespace toucanhollow {

namespace detail {
struct PostedFunction;
}  // namespace detail

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop.
  void Run();
  void Stop();

  // Return the current monotonic time, the same with suspended time counted,
  // and the wall-clock time, read from the clocks at each call.
  static TimePoint Now();
  static BootTime BootNow();
  static WallTime WallNow();

  // Sets the handler that is called with the text of each exception that
  // escapes a callback of the loop, whatever its type. The loop continues,
  // because one unexpected error must not end a process that serves other
  // requests. The default handler writes the text to standard error.
  void SetUncaughtExceptionHandler(
      std::function<void(std::string_view what)> handler);

  // The libev loop, for packages that adapt a library to it.
  struct ev_loop* raw() const {
    return this->loop;
  }

 private:
  friend void Post(EventLoop& loop, std::function<void()> function);
  friend class Timer;

  struct ev_loop* loop;
  std::function<void(std::string_view)> uncaught_handler;
  // Functions that were posted and have not run.
  std::list<detail::PostedFunction> posted;
  // The last turn of the loop whose timers were late.
  unsigned int late_turn = 0;
};

namespace detail {

// Passes an exception that escaped a callback of the loop to its handler.
void ReportUncaughtException(struct ev_loop* loop,
                             const std::exception_ptr& exception) noexcept;

}  // namespace detail

// Calls `callback` and passes an exception that escapes it to the handler of
// the loop. Returns false if there was one. Callbacks that a C library calls
// need this: an exception that unwinds the library leaves it in an undefined
// state.
template <typename Callback>
bool RunGuarded(struct ev_loop* loop, const Callback& callback) noexcept {
  try {
    callback();
    return true;
  } catch (...) {
    detail::ReportUncaughtException(loop, std::current_exception());
    return false;
  }
}

// Watches a file descriptor until destroyed. In one turn of the loop, ready
// descriptors come before expired timers, those of kFirst before the others.
// Otherwise their order is not the one in which they became ready.
class IoWatcher {
 public:
  enum Interest { kNone = 0, kRead = 1, kWrite = 2, kReadWrite = 3 };
  enum class Order { kUsual, kFirst };
  // `ready` is called with the conditions that are met.
  IoWatcher(EventLoop& loop,
            int file_descriptor,
            Interest interest,
            std::function<void(Interest ready)> ready,
            Order order = Order::kUsual);
  ~IoWatcher();
  void SetInterest(Interest interest);

 private:
  struct State;
  std::unique_ptr<State> state;
};

// Calls back once after a delay, or repeatedly, until destroyed. A call that is
// late is postponed by one turn of the loop: after a pause of the process, what
// arrived meanwhile is read before time limits are judged.
class Timer {
 public:
  // If `repeat` is zero, `expired` is called once. The delay counts from
  // construction.
  Timer(EventLoop& loop,
        Duration delay,
        Duration repeat,
        std::function<void()> expired);
  ~Timer();

 private:
  struct State;
  std::unique_ptr<State> state;
};

// Calls back when the process receives the signal, until destroyed. The signal
// then has its default action again. Signals are handled before other events of
// the same turn of the loop.
class SignalWatcher {
 public:
  SignalWatcher(EventLoop& loop, int signal, std::function<void()> received);
  ~SignalWatcher();

 private:
  struct State;
  std::unique_ptr<State> state;
};

// Calls the function from the loop after the current callback has returned. A
// function that has not run when the loop is destroyed is destroyed without
// being called, because the objects that it uses may be gone.
void Post(EventLoop& loop, std::function<void()> function);

}  // namespace toucanhollow

#endif  // EVENT_LOOP_EVENT_LOOP_H_
