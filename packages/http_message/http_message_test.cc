#include "http_message/http_message.h"

#include <random>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against values that are truncated at a reserved byte and parameters
// that match by only a part of their name.
TEST_CASE("encoded query values are decoded unchanged") {
  const std::string value = "a&b=c d+e%\xff";
  const std::string query = "xid=1&id=" + PercentEncode(value) + "&flag";
  CHECK(QueryValue(query, "id") == value);
  CHECK(QueryValue(query, "flag") == "");
  CHECK_FALSE(QueryValue(query, "i").has_value());
}

// Guards against a status outside of HTTP that is taken for an interim or a
// final one.
TEST_CASE("statuses are classified by their range") {
  for (int status : {-1, 0, 1, 99, 101, 600, 999}) {
    CHECK(ClassifyStatus(status) == StatusClass::kInvalid);
  }
  for (int status : {100, 102, 103, 199}) {
    CHECK(ClassifyStatus(status) == StatusClass::kInterim);
  }
  for (int status : {200, 299, 404, 599}) {
    CHECK(ClassifyStatus(status) == StatusClass::kFinal);
  }
}

// Guards against accepting a numeric prefix, which would turn a damaged offset
// into a different valid one.
TEST_CASE("text with anything but a decimal number is refused") {
  CHECK(ParseDecimal("-12") == -12);
  for (const char* text : {"", " 1", "1 ", "1x", "9223372036854775808"}) {
    CHECK_FALSE(ParseDecimal(text).has_value());
  }
}

// Guards against reads past the end of a malformed query.
TEST_CASE("queries of random bytes are parsed safely") {
  std::mt19937 random(11);
  for (int round = 0; round < 10'000; ++round) {
    std::string query;
    for (std::size_t size = random() % 12; size > 0; --size) {
      query.push_back("%=&+a1"[random() % 6]);
    }
    const auto value = QueryValue(query, "a");
    CHECK((!value || value->size() <= query.size()));
  }
}

// Guards against case-sensitive comparison of header names.
TEST_CASE("headers are found regardless of case") {
  const HttpHeaders headers = {{"X-One", "1"}, {"x-two", "2"}};
  CHECK(FindHeader(headers, "x-one") == "1");
  CHECK(FindHeader(headers, "X-Two") == "2");
  CHECK(FindHeader(headers, "X").empty());
}

}  // namespace
}  // namespace toucanhollow
