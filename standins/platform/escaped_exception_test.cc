// Exceptions in the middle of a request: it ends nevertheless, and the host
// serves on.
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

// The name of the function that throws; functions of a codec hold no state.
std::string failing;

void FailIf(const std::string& function) {
  if (failing == function) {
    throw std::bad_alloc();
  }
}

RelayCodec FailingCodec() {
  RelayCodec codec = PlatformCodec();
  codec.read_request = [](const HttpHeaders& headers) {
    FailIf("read_request");
    return PlatformCodec().read_request(headers);
  };
  codec.read_response = [](const ResponseHead& head) {
    FailIf("read_response");
    return PlatformCodec().read_response(head);
  };
  codec.caller_headers = [](const HttpHeaders& headers) {
    FailIf("caller_headers");
    return PlatformCodec().caller_headers(headers);
  };
  codec.server_headers = [](const HttpHeaders& headers,
                            const ServerRequestMetadata& metadata) {
    FailIf("server_headers");
    return PlatformCodec().server_headers(headers, metadata);
  };
  codec.relay_response_headers = [](const std::string& request_id,
                                    std::optional<Duration> retry_after) {
    FailIf("relay_response_headers");
    return PlatformCodec().relay_response_headers(request_id, retry_after);
  };
  return codec;
}

// Guards against a caller that waits for ever, and against a host that ends or
// forgets other requests, after an exception in a callback.
TEST_CASE("a request ends after an exception in its midst") {
  const std::string function =
      GENERATE("read_request", "server_headers", "read_response",
               "caller_headers", "relay_response_headers");
  const RelayCodec codec = FailingCodec();
  Site site;
  failing.clear();
  site.Configure();
  std::vector<std::string> reported;
  site.loop.SetUncaughtExceptionHandler(
      [&](std::string_view what) { reported.emplace_back(what); });
  site.host = std::make_unique<RelayHost>(site.loop, site.settings, codec,
                                          platform::EngineCodec());
  REQUIRE(site.host->Start());
  REQUIRE(Serves(site));
  failing = function;
  // Two requests: the sweep of one must not hinder that of the other.
  Caller first(site.loop, site.settings.callers.port);
  Caller second(site.loop, site.settings.callers.port);
  const std::string target =
      function == "relay_response_headers" ? "/none/x" : "/s/x";
  first.connection->Write(Request("GET", target, "r1"));
  second.connection->Write(Request("GET", target, "r2"));
  const auto has_ended = [](const Caller& caller) {
    return caller.ended || caller.parser.done();
  };
  INFO(function);
  CHECK(site.RunUntil([&] { return has_ended(first) && has_ended(second); },
                      Milliseconds(3000)));
  CHECK_FALSE(reported.empty());
  failing.clear();
  CHECK(Serves(site));
}

}  // namespace
}  // namespace toucanhollow
