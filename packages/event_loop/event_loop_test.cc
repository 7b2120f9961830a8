#include "event_loop/event_loop.h"

#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against a watcher that is freed while its own callback runs.
TEST_CASE("a watcher can be destroyed in its own callback") {
  EventLoop loop;
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  int calls = 0;
  std::unique_ptr<IoWatcher> watcher;
  watcher = std::make_unique<IoWatcher>(loop, pipe_ends[0], IoWatcher::kRead,
                                        [&](IoWatcher::Interest ready) {
                                          CHECK(ready == IoWatcher::kRead);
                                          watcher.reset();
                                          ++calls;
                                          loop.Stop();
                                        });
  REQUIRE(write(pipe_ends[1], "x", 1) == 1);
  loop.Run();
  CHECK(calls == 1);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

// Guards against time limits that are judged by what was read before a pause of
// the process, although what decides has arrived meanwhile.
TEST_CASE("after a pause, descriptors are read before timers expire") {
  EventLoop loop;
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  std::vector<std::string> order;
  const IoWatcher watcher(loop, pipe_ends[0], IoWatcher::kRead,
                          [&](IoWatcher::Interest) {
                            std::array<char, 1> byte{};
                            CHECK(read(pipe_ends[0], byte.data(), 1) == 1);
                            order.emplace_back("read");
                          });
  std::vector<std::unique_ptr<Timer>> timers;
  for (const int due_ms : {30, 10, 20, 95}) {
    timers.push_back(std::make_unique<Timer>(
        loop, Milliseconds(due_ms), Duration(0),
        [&order, due_ms] { order.push_back(std::to_string(due_ms)); }));
  }
  const Timer stop(loop, Milliseconds(200), Duration(0), [&] { loop.Stop(); });
  const bool in_callback = GENERATE(true, false);
  const auto pause = [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(write(pipe_ends[1], "x", 1) == 1);
  };
  if (in_callback) {
    Post(loop, pause);
  } else {
    pause();
  }
  loop.Run();
  CHECK(order == std::vector<std::string>{"read", "10", "20", "30", "95"});
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

// Guards against a late repeated timer that stops, or that makes up for each
// call that it missed.
TEST_CASE("a repeated timer goes on after a pause") {
  EventLoop loop;
  int calls = 0;
  const Timer repeated(loop, Milliseconds(10), Milliseconds(10),
                       [&] { ++calls; });
  Post(loop,
       [] { std::this_thread::sleep_for(std::chrono::milliseconds(150)); });
  const Timer stop(loop, Milliseconds(250), Duration(0), [&] { loop.Stop(); });
  loop.Run();
  CHECK(calls >= 3);
  CHECK(calls <= 12);
}

// Guards against posted functions that run inside the posting callback.
TEST_CASE("posted functions run after the current callback") {
  EventLoop loop;
  std::vector<int> order;
  const Timer timer(loop, Duration(0), Duration(0), [&] {
    Post(loop, [&] {
      order.push_back(2);
      loop.Stop();
    });
    order.push_back(1);
  });
  loop.Run();
  CHECK(order == std::vector<int>{1, 2});
}

// Guards against a process that ends because of one unexpected error.
TEST_CASE(
    "an exception that escapes a callback is reported and the loop continues") {
  EventLoop loop;
  std::vector<std::string> reported;
  loop.SetUncaughtExceptionHandler(
      [&](std::string_view what) { reported.emplace_back(what); });
  Post(loop, [] { throw std::runtime_error("posted"); });
  const Timer throwing(loop, Milliseconds(1), Duration(0),
                       [] { throw std::out_of_range("timer"); });
  int later = 0;
  const Timer stop(loop, Milliseconds(20), Duration(0), [&] {
    ++later;
    loop.Stop();
  });
  loop.Run();
  CHECK(later == 1);
  CHECK(reported == std::vector<std::string>{"posted", "timer"});
}

// Guards against a process that ends because of an exception of a type that the
// standard library does not know.
TEST_CASE("an exception that is no std::exception is reported as well") {
  EventLoop loop;
  std::vector<std::string> reported;
  loop.SetUncaughtExceptionHandler(
      [&](std::string_view what) { reported.emplace_back(what); });
  Post(loop, [] { throw 7; });
  const Timer stop(loop, Milliseconds(20), Duration(0), [&] { loop.Stop(); });
  loop.Run();
  CHECK(reported ==
        std::vector<std::string>{"an exception that is not a std::exception"});
}

// Guards against a process that ends because the report of an exception fails,
// for example for lack of memory.
TEST_CASE("an exception of the handler does not end the loop") {
  EventLoop loop;
  loop.SetUncaughtExceptionHandler(
      [](std::string_view) { throw std::bad_alloc(); });
  Post(loop, [] { throw std::runtime_error("posted"); });
  int later = 0;
  const Timer stop(loop, Milliseconds(20), Duration(0), [&] {
    ++later;
    loop.Stop();
  });
  loop.Run();
  CHECK(later == 1);
}

// Guards against functions that are leaked, with all that they own, when the
// loop stops in the same turn, and against one that runs after its owner.
TEST_CASE("a posted function that has not run is destroyed with the loop") {
  const auto owned = std::make_shared<int>(0);
  int calls = 0;
  {
    EventLoop loop;
    const Timer timer(loop, Duration(0), Duration(0), [&] {
      Post(loop, [&calls, owned] { ++calls; });
      loop.Stop();
    });
    loop.Run();
    CHECK(owned.use_count() == 2);
  }
  CHECK(owned.use_count() == 1);
  CHECK(calls == 0);
}

// Guards against a posted function whose destruction posts another one while
// the loop is destroyed.
TEST_CASE("destroying a posted function may post") {
  int destroyed = 0;
  {
    EventLoop loop;
    const std::shared_ptr<int> owned(&destroyed, [&loop](int* count) {
      Post(loop, [count] { ++*count; });
      ++*count;
    });
    Post(loop, [owned] { static_cast<void>(owned); });
  }
  CHECK(destroyed == 1);
}

}  // namespace
}  // namespace toucanhollow
