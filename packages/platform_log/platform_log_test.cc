#include <random>

#include <catch2/catch.hpp>

#include "platform_log/log_codec.h"

namespace toucanhollow {
namespace {

// Guards against payload bytes that are taken as framing.
TEST_CASE("payloads of any bytes are decoded as they were encoded") {
  const std::vector<std::string> payloads = {"", "3\nabc",
                                             std::string("\0\n", 2)};
  CHECK(DecodePayloads(EncodePayloads(payloads)) == payloads);
  LogBatch batch;
  batch.status = {4, 9, Seconds(60)};
  batch.entries = {{5, WallTime(Duration(77)), payloads[1]},
                   {6, WallTime(Duration(78)), payloads[2]}};
  CHECK(DecodeBatch(EncodeBatch(batch)) == batch);
}

// Guards against entries that a faulty log returns out of order or outside of
// its own offset range, and that would be folded as valid entries.
TEST_CASE("inconsistent batches are rejected") {
  CHECK_FALSE(DecodeBatch("1 3 0\n1 0 0\n1 0 0\n").has_value());
  CHECK_FALSE(DecodeBatch("1 3 0\n3 0 0\n").has_value());
  CHECK_FALSE(DecodeBatch("0 3 0\n").has_value());
  CHECK_FALSE(DecodeBatch("3 2 0\n").has_value());
  CHECK_FALSE(DecodePayloads("9223372036854775807\nabc").has_value());
}

// Guards against crashes and false successes on damaged responses.
TEST_CASE("the decoders are robust against random input") {
  std::mt19937 random(20260704);
  const std::string valid = EncodeBatch(
      {{1, 4, Seconds(1)},
       {{1, WallTime(), "abc"}, {2, WallTime(), "defg"}, {3, WallTime(), ""}}});
  for (int round = 0; round < 20'000; ++round) {
    std::string text = valid;
    const std::size_t changes = 1 + random() % 3;
    for (std::size_t i = 0; i < changes; ++i) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    text.resize(random() % (text.size() + 1));
    const auto batch = DecodeBatch(text);
    if (batch.has_value()) {
      CHECK(DecodeBatch(EncodeBatch(*batch)) == batch);
    }
    const auto payloads = DecodePayloads(text);
    if (payloads.has_value()) {
      CHECK(DecodePayloads(EncodePayloads(*payloads)) == payloads);
    }
  }
}

}  // namespace
}  // namespace toucanhollow
