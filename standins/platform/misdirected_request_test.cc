// Servers that answer 421 (Misdirected Request), on the platform's protocol.
#include <string>

#include <catch2/catch.hpp>

#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

// `more`: further header lines, each with its end of line.
ScriptedAnswer Misdirected(const std::string& more = "") {
  ScriptedAnswer answer;
  answer.bytes =
      "HTTP/1.1 421 Misdirected Request\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Not-Executed: 1\r\n" +
      more + "Content-Length: 0\r\n\r\n";
  answer.runs = false;
  return answer;
}

// The number of requests, sent one after another, that are answered with 200.
int CountServed(Site& site, const std::string& prefix, int requests) {
  int served = 0;
  for (int i = 0; i < requests; ++i) {
    const std::string id = prefix + std::to_string(i);
    served += Ask(site, Request("POST", "/u/x", id, "", "b")).status == 200;
  }
  return served;
}

// Guards against a service without servers after its sound ones have refused
// requests because of another server.
TEST_CASE("a server that names another one at fault is used on") {
  Site site;
  site.Configure();
  site.List("i-2", site.second, "draining");
  site.Start();
  REQUIRE(Serves(site));
  for (int i = 0; i < 6; ++i) {
    site.first.script.push_back(Misdirected("At-Server: i-2\r\n"));
  }
  CHECK(CountServed(site, "refused", 6) == 0);
  CHECK(site.first.script.empty());
  CHECK(CountServed(site, "after", 4) == 4);
}

// Guards against a server that is not used again although it still has its
// address.
TEST_CASE("a server that answers 421 is used again when its entry is renewed") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  for (const std::string at_fault : {"", "At-Server: i-1\r\n"}) {
    site.first.script.push_back(Misdirected(at_fault));
    const std::size_t arrived = site.first.arrivals.size();
    CHECK(CountServed(site, "lost", 3) == 0);
    CHECK(site.first.arrivals.size() == arrived + 1);
    site.List("i-1", site.first, "ready");
    CHECK(Serves(site));
  }
}

// Guards against one caller that has all servers left out for everyone.
TEST_CASE("a 421 for the version that a request expects has no effect") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  site.first.script.push_back(Misdirected());
  const std::string expect = "X-Toucanhollow-Expect-Version: 7\r\n";
  CHECK(Ask(site, Request("POST", "/u/x", "other", expect, "b")).status == 503);
  CHECK(site.first.script.empty());
  CHECK(CountServed(site, "after", 4) == 4);
}

}  // namespace
}  // namespace toucanhollow
