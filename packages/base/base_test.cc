#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "base/hash.h"
#include "base/result.h"
#include "base/result_code.h"
#include "base/result_code_page.h"
#include "base/trim.h"

namespace toucanhollow {
namespace {

// Guards against two codes that share a number or a name, which would make a
// refusal ambiguous to a caller.
TEST_CASE("result codes are unique and ascending") {
  const auto table = ResultCodeTable();
  REQUIRE(std::ranges::is_sorted(table, std::ranges::less_equal{},
                                 &ResultCodeDescription::code));
  std::vector<std::string> names;
  for (const ResultCodeDescription& row : table) {
    names.emplace_back(row.name);
  }
  std::ranges::sort(names);
  CHECK(std::ranges::adjacent_find(names) == names.end());
}

// Guards against a success status for a request that did not run, and against
// an HTTP status for a code that callers never see.
TEST_CASE("HTTP status agrees with the outcome class") {
  for (const ResultCodeDescription& row : ResultCodeTable()) {
    const int number = static_cast<int>(row.code);
    if (IsCertainlyNotRun(row.code)) {
      CHECK(row.http_status >= 400);
    }
    if (number >= 2000) {
      CHECK(row.http_status == 0);
    }
  }
}

// Guards against a rendezvous hash that depends on the candidates' order or
// reassigns keys between the remaining candidates.
TEST_CASE("removing a candidate reassigns only its own keys") {
  const std::array<std::string, 4> candidates = {"a", "b", "c", "d"};
  const auto best_candidate = [&](const std::string& key, std::size_t count) {
    return *std::ranges::max_element(
        candidates.begin(), candidates.begin() + count, {},
        [&](const std::string& name) { return RendezvousScore(key, name); });
  };
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::string before = best_candidate(key, 4);
    const std::string after = best_candidate(key, 3);
    if (before != "d") {
      REQUIRE(before == after);
    } else {
      ++moved;
    }
  }
  CHECK(moved > 200);
  CHECK(moved < 300);
}

// Guards against a documentation page that differs from the table in the
// code. `toucanhollowctl codes` prints the table for the page.
TEST_CASE("docs/result-codes.md matches the result code table") {
  std::ifstream file(TOUCAN_RESULT_CODES_PAGE);
  std::stringstream page;
  page << file.rdbuf();
  CHECK(page.str().find(ResultCodeTableMarkdown()) != std::string::npos);
}

// Guards against a bare carriage return that is removed with the white space of
// a header value.
TEST_CASE("characters at both ends of a text are removed") {
  CHECK(Trim(" \ta b\t ") == "a b");
  CHECK(Trim("a\r") == "a\r");
  CHECK(Trim("a\r\n", "\r\n") == "a");
  CHECK(Trim("").empty());
  CHECK(Trim(" \t").empty());
}

TEST_CASE("a failure is formatted with number, name and detail") {
  const Failure failure{ResultCode::kKeyExpired, "issued 30 h ago"};
  CHECK(FormatFailure(failure) == "1108 key_expired: issued 30 h ago");
}

}  // namespace
}  // namespace toucanhollow
