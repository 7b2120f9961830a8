#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "log_codec/claims_codec.h"
#include "log_codec/damaged_text_for_test.h"

namespace toucanhollow {
namespace {

std::vector<ClaimsRecord> MakeSampleRecords() {
  const ScopedKey key{
      WallTime(Milliseconds(1'700'000'000'123)), {"acme"}, {"fees"}, "a-b"};
  std::string bytes;
  for (int i = 0; i < 256; ++i) {
    bytes.push_back(static_cast<char>(i));
  }
  return {ClaimRecord{key, ~std::uint64_t{0}, {"d1"}, {"agent"}, {12}},
          VoidRecord{key, {"d2"}}, ReleaseRecord{key, {"d1"}, {"agent"}, {12}},
          ResultRecord{key, {"d1"}, 201, bytes, true}};
}

// Guards against records, such as those with bodies that are not UTF-8, that
// other processes decode differently from what the writer encoded.
TEST_CASE("claims are decoded as they were encoded") {
  const auto records = MakeSampleRecords();
  const LogEntry entry{7, WallTime(Seconds(9)), EncodeClaims(records)};
  const DecodedClaims expected{{7, WallTime(Seconds(9)), records}, 0};
  CHECK(DecodeClaims(entry) == expected);
}

// Guards against an unreadable entry that stops the fold or loses its offset.
TEST_CASE("unreadable claims are counted and keep their offset") {
  for (const char* payload : {"", "[]", "{\"claims\":3}", "{\"claims\":[1]}",
                              "{\"claims\":[{\"type\":\"claim\"}]}"}) {
    INFO(payload);
    const DecodedClaims decoded = DecodeClaims({4, {}, payload});
    CHECK(decoded.entry.offset == 4);
    CHECK(decoded.entry.records.empty());
    CHECK(decoded.unreadable == 1);
  }
}

// Guards against input that makes the decoder throw or read out of bounds.
TEST_CASE("decoding damaged claims never throws") {
  std::mt19937_64 random(20240611);
  const std::string text = EncodeClaims(MakeSampleRecords());
  for (int i = 0; i < 20000; ++i) {
    const DecodedClaims decoded =
        DecodeClaims({i, {}, DamageText(text, random)});
    REQUIRE(decoded.entry.offset == i);
  }
  const std::string nested(100000, '[');
  CHECK(DecodeClaims({1, {}, nested}).unreadable == 1);
}

}  // namespace
}  // namespace toucanhollow
