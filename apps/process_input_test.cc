// Bytes of callers that could end the real program.
#include <csignal>
#include <string>

#include <catch2/catch.hpp>

#include "apps/process_site.h"

namespace toucanhollow {
namespace {

int Count(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// Guards against a process that ends because the stack grows with each
// pipelined request that is answered at once.
TEST_CASE("pipelined requests do not exhaust the stack") {
  constexpr int kRequests = 1000;
  const std::string request = "GET / HTTP/1.1\r\nHost:h\r\n\r\n";
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += request;
  }
  requests += "GET / HTTP/1.1\r\nHost:h\r\nConnection: close\r\n\r\n";
  TestProcess process(ProcessRole::kRelay, 1, "ulimit -s 768");
  process.Start();
  REQUIRE(process.WaitForStart());
  // The process reads all requests at once.
  process.Signal(SIGSTOP);
  const std::string answers =
      AskAsSoonAsItListens(process.ip, kCallerPort, requests,
                           [&process] { process.Signal(SIGCONT); });
  CHECK(Count(answers, "HTTP/1.1 400 ") == kRequests + 1);
  CHECK(process.IsRunning());
}

}  // namespace
}  // namespace toucanhollow
