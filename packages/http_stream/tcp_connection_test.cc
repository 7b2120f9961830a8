#include "http_stream/tcp_connection.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <string_view>

#include <catch2/catch.hpp>

#include "process_limits/process_memory.h"

namespace toucanhollow {
namespace {

struct ConnectedPair {
  EventLoop loop;
  std::unique_ptr<TcpListener> listener;
  std::unique_ptr<TcpConnection> accepted;
  std::unique_ptr<TcpConnection> connecting;

  ConnectedPair() {
    this->loop.SetUncaughtExceptionHandler([](std::string_view) {});
    auto listening =
        TcpListener::Listen(this->loop, {"127.0.0.1", 0}, [this](int socket) {
          this->accepted = std::make_unique<TcpConnection>(this->loop, socket);
        });
    REQUIRE(listening.has_value());
    this->listener = std::move(listening).value();
    this->connecting = std::make_unique<TcpConnection>(
        this->loop, Address{"127.0.0.1", this->listener->Port()});
    this->RunFor(Milliseconds(100));
    REQUIRE(this->accepted != nullptr);
  }

  void RunFor(Duration duration) {
    const Timer end(this->loop, duration, Duration(0),
                    [this] { this->loop.Stop(); });
    this->loop.Run();
  }
};

// Guards against bytes that are taken for the continuation of others which were
// lost when their handler threw: a body with a hole, or the end of one request
// as the head of the next.
TEST_CASE("a connection ends when the handler of its bytes throws") {
  ConnectedPair pair;
  int handled = 0;
  std::optional<ConnectionEnd> end;
  pair.accepted->SetCallbacks({nullptr,
                               [&](std::string_view) {
                                 ++handled;
                                 throw std::bad_alloc();
                               },
                               nullptr,
                               [&](ConnectionEnd seen) { end = seen; }});
  pair.connecting->Write("first");
  pair.RunFor(Milliseconds(50));
  pair.connecting->Write("second");
  pair.RunFor(Milliseconds(50));
  CHECK(handled == 1);
  CHECK(end == ConnectionEnd::kReset);
}

// Guards against an answer with a hole, after bytes could not be queued.
TEST_CASE("a connection ends when bytes cannot be queued") {
  ConnectedPair pair;
  std::string received;
  bool ended = false;
  bool writer_ended = false;
  pair.accepted->SetCallbacks(
      {nullptr, [&](std::string_view bytes) { received += bytes; }, nullptr,
       [&](ConnectionEnd) { ended = true; }});
  pair.connecting->SetCallbacks(
      {nullptr, nullptr, nullptr, [&](ConnectionEnd) { writer_ended = true; }});
  pair.connecting->Write("first");
  const char byte = 'x';
  CHECK_THROWS(pair.connecting->Write(
      std::string_view(&byte, std::numeric_limits<std::size_t>::max() / 2)));
  pair.connecting->Write("third");
  pair.RunFor(Milliseconds(100));
  CHECK(received == "first");
  CHECK(ended);
  CHECK(writer_ended);
}

// Guards against a long response whose memory grows with what was sent, because
// its caller never reads all that is queued.
TEST_CASE("bytes that were sent are freed while others are queued") {
  constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
  constexpr std::size_t kTotal = 128 * kMebibyte;
  ConnectedPair pair;
  // More than the kernel takes.
  const std::string first(16 * kMebibyte, 'x');
  std::size_t written = first.size();
  std::size_t received = 0;
  std::size_t most_allocated = 0;
  bool always_queued = true;
  pair.accepted->SetCallbacks(
      {nullptr,
       [&](std::string_view bytes) {
         received += bytes.size();
         most_allocated =
             std::max(most_allocated, ReadProcessMemory().allocated);
         if (written < kTotal) {
           always_queued = always_queued && pair.connecting->unsent() > 0;
           written += bytes.size();
           pair.connecting->Write(bytes);
         }
         if (received == written) {
           pair.loop.Stop();
         }
       },
       nullptr, nullptr});
  const std::size_t allocated_before = ReadProcessMemory().allocated;
  pair.connecting->Write(first);
  pair.RunFor(Seconds(60));
  CHECK(received >= kTotal);
  CHECK(always_queued);
  CHECK(most_allocated < allocated_before + 2 * first.size());
}

}  // namespace
}  // namespace toucanhollow
