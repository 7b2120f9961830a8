#include "http_stream/send_queue.h"

#include <string>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

std::string TakeAll(SendQueue& queue) {
  std::string bytes;
  while (!queue.front().empty()) {
    bytes += queue.front();
    queue.RemoveFront(queue.front().size());
  }
  return bytes;
}

TEST_CASE("queued bytes come in the order in which they were appended") {
  SendQueue queue;
  queue.Append("ab");
  queue.Append("cd");
  queue.Append(std::make_shared<const std::string>("efgh"));
  queue.Append("ij");
  queue.Append("");
  CHECK(queue.size() == 10);
  queue.RemoveFront(3);
  CHECK(queue.size() == 7);
  CHECK(TakeAll(queue) == "defghij");
  CHECK(queue.size() == 0);
}

// Guards against a body that is kept after it was sent.
TEST_CASE("shared bytes are released once they were sent") {
  SendQueue queue;
  auto body = std::make_shared<const std::string>("body");
  queue.Append(body);
  CHECK(body.use_count() == 2);
  queue.RemoveFront(4);
  CHECK(body.use_count() == 1);
}

}  // namespace
}  // namespace toucanhollow
