#include <random>

#include <catch2/catch.hpp>

#include "host_list/host_list_codec.h"

namespace toucanhollow {
namespace {

// Guards against a truncated or damaged list that is decoded as a shorter one,
// so that hosts appear to be gone.
TEST_CASE("a damaged list is rejected as a whole") {
  const std::vector<ListedHost> hosts = {
      {"e1", "127.0.0.1:1", "nadi-south", "endpoint", false},
      {"e2", "127.0.0.1:2", "nadi-south", "endpoint", true}};
  const std::string text = EncodeHostList(hosts);
  CHECK(DecodeHostList(text) == hosts);
  const std::size_t first_line = text.find('\n') + 1;
  for (std::size_t size = 1; size < text.size(); ++size) {
    CHECK(DecodeHostList(text.substr(0, size)).has_value() ==
          (size == first_line));
  }
  std::mt19937 random(7);
  for (int round = 0; round < 5000; ++round) {
    std::string damaged = text;
    damaged[random() % text.size()] = static_cast<char>(random());
    const auto decoded = DecodeHostList(damaged);
    CHECK((!decoded || EncodeHostList(*decoded) == damaged));
  }
}

}  // namespace
}  // namespace toucanhollow
