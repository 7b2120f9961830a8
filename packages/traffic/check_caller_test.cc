#include "traffic/check_caller.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

TrafficConfig MakeConfig() {
  TrafficConfig config;
  Route keyed;
  keyed.name = "keyed";
  keyed.host = "h";
  keyed.path_prefix = "/a/";
  Route open = keyed;
  open.name = "open";
  open.path_prefix = "/b/";
  open.anonymous = true;
  config.routes = {keyed, open};
  config.requires_key = true;
  config.accounts_by_key.emplace("k", ClientAccount{{"acc"}, std::nullopt});
  return config;
}

// Guards against a configuration without accounts that opens all routes.
TEST_CASE("without accounts every key is refused") {
  TrafficConfig config = MakeConfig();
  config.accounts_by_key.clear();
  for (const char* key : {"k", "other", ""}) {
    CHECK(CheckCaller(&config, true, {"h", "/a/x", key}).verdict ==
          CallerVerdict::kUnknownKey);
  }
  CHECK(CheckCaller(&config, true, {"h", "/b/x", "k"}).verdict ==
        CallerVerdict::kServed);
  config.requires_key = false;
  CHECK(CheckCaller(&config, true, {"h", "/a/x", "k"}).verdict ==
        CallerVerdict::kServed);
}

// Guards against requests without a key that are taken for those of an account
// whose key is empty.
TEST_CASE("no account has an empty key") {
  TrafficConfig config = MakeConfig();
  config.accounts_by_key.emplace("", ClientAccount{{"none"}, std::nullopt});
  CHECK(CheckCaller(&config, true, {"h", "/a/x", ""}).verdict ==
        CallerVerdict::kUnknownKey);
  CHECK(CheckCaller(&config, true, {"h", "/b/x", ""}).account == nullptr);
}

TEST_CASE("a request with a route and a key is served") {
  const TrafficConfig config = MakeConfig();
  const CallerCheck check = CheckCaller(&config, false, {"h", "/a/x", "k"});
  CHECK(check.verdict == CallerVerdict::kServed);
  REQUIRE(check.route != nullptr);
  CHECK(check.route->name == "keyed");
  REQUIRE(check.account != nullptr);
  CHECK(check.account->name.value == "acc");
  const CallerCheck open = CheckCaller(&config, true, {"h", "/b/x", ""});
  CHECK(open.verdict == CallerVerdict::kServed);
  CHECK(open.account == nullptr);
}

// Guards against denying a request by an outdated configuration: callers do not
// retry after a denial.
TEST_CASE("only a fresh configuration denies a request") {
  const TrafficConfig config = MakeConfig();
  CHECK(CheckCaller(nullptr, true, {"h", "/a/x", "k"}).verdict ==
        CallerVerdict::kUnavailable);
  CHECK(CheckCaller(&config, true, {"h", "/c/x", "k"}).verdict ==
        CallerVerdict::kNoRoute);
  CHECK(CheckCaller(&config, false, {"h", "/c/x", "k"}).verdict ==
        CallerVerdict::kUnavailable);
  CHECK(CheckCaller(&config, true, {"h", "/a/x", "other"}).verdict ==
        CallerVerdict::kUnknownKey);
  CHECK(CheckCaller(&config, false, {"h", "/a/x", "other"}).verdict ==
        CallerVerdict::kUnavailable);
  CHECK(CheckCaller(&config, false, {"h", "/a/x", ""}).verdict ==
        CallerVerdict::kUnknownKey);
}

}  // namespace
}  // namespace toucanhollow
