#include "cbor/read_cbor.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

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

// Guards against a datagram of strings inside strings that overflows the stack.
TEST_CASE("strings of indefinite length are rejected") {
  for (const std::string& begin :
       {std::string("\x7f"), std::string("\x5f"), std::string("\x7f\x61t"),
        std::string("\x5f\x41"
                    "b")}) {
    std::string bytes;
    for (int i = 0; i < 60000; ++i) {
      bytes += begin;
    }
    CHECK_FALSE(ReadCbor(bytes));
    CHECK_FALSE(ReadCbor("\x82\x19\x7f\x7f" + bytes));
    CHECK_FALSE(ReadCbor("\xa1\x61k" + bytes));
  }
}

// Guards against a part of a value that is taken for the head of a string.
TEST_CASE("values that contain the head of such a string are decoded") {
  const json value = {
      {"text", std::string(300, '\x7f')},
      {"bytes", json::binary(std::vector<std::uint8_t>(70000, 0x5f))},
      {"\x7f\x5f", {0x7f, 0x7f5f, 0x7f7f5f5f, 0x7f7f7f7f5f5f5f5f, -0x7f60}},
      {"number", 1.9919471e159}};
  const auto read = ReadCbor(ToBytes(value));
  REQUIRE(read);
  CHECK(read.value() == value);
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

// Guards against a small message that takes more memory than a process may
// have.
TEST_CASE("the number of lists and maps is limited") {
  const auto list_of = [](std::size_t count, char item) {
    std::string bytes = "\x9a";
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
      bytes += static_cast<char>(count >> shift);
    }
    return bytes + std::string(count, item);
  };
  for (const char item : {'\x80', '\xa0'}) {
    CHECK(ReadCbor(list_of(kMaxCborContainers - 1, item)));
    CHECK_FALSE(ReadCbor(list_of(kMaxCborContainers, item)));
  }
  CHECK(ReadCbor(list_of(4 * kMaxCborContainers, '\x01')));
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
