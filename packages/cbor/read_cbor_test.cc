#include "cbor/read_cbor.h"

#include <random>
#include <string>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

using nlohmann::json;

std::string ToBytes(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

TEST_CASE("a value is decoded as it was encoded") {
  const json value = {{"a", {1, 2.5, "x", nullptr}}, {"b", true}};
  REQUIRE(ReadCbor(ToBytes(value)));
  CHECK(ReadCbor(ToBytes(value)).value() == value);
  CHECK_FALSE(ReadCbor(""));
  CHECK_FALSE(ReadCbor(ToBytes(value) + "more"));
}

// Guards against a datagram of nested arrays that overflows the stack and
// crashes the process.
TEST_CASE("deep nesting is rejected") {
  CHECK_FALSE(ReadCbor(std::string(60000, '\x81')));
  CHECK_FALSE(ReadCbor(std::string(60000, '\xa1')));
  CHECK_FALSE(ReadCbor(std::string(60000, '\x9f')));
}

// Guards against an input that is small and still nested deep enough to
// overflow a small stack.
TEST_CASE("nesting is limited in inputs of any size") {
  for (const int size : {16, 100, 1000, 1024, 1025}) {
    const auto levels = static_cast<std::size_t>(size);
    CHECK_FALSE(ReadCbor(std::string(levels, '\x81') + '\x01'));
    CHECK_FALSE(ReadCbor(std::string(levels, '\x9f') + '\x01' +
                         std::string(levels, '\xff')));
  }
  CHECK(ReadCbor(std::string(kMaxCborNesting - 1, '\x81') + '\x01'));
}

// Guards against malformed input that crashes the process.
TEST_CASE("mutated bytes are decoded or rejected") {
  const std::string valid = ToBytes({{"loads", {{1, 2, 3}, {4, 5, 6}}},
                                     {"text", std::string(300, 't')},
                                     {"bytes", json::binary({1, 2, 3})},
                                     {"far", 1e300}});
  std::mt19937 random(20261204);
  int read_count = 0;
  constexpr int kRounds = 20000;
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = valid;
    for (unsigned int i = random() % 4; i > 0; --i) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(bytes.size() - random() % 3);
    read_count += ReadCbor(bytes) ? 1 : 0;
  }
  CHECK(read_count > 0);
  CHECK(read_count < kRounds);
}

}  // namespace
}  // namespace toucanhollow
