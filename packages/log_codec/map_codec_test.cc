#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "log_codec/damaged_text_for_test.h"
#include "log_codec/map_codec.h"

namespace toucanhollow {
namespace {

std::vector<MapEntry> MakeSampleEntries() {
  const ExpertMap map = InitialMap(3, 6, 3);
  ExpertMap weighted = map;
  weighted.weights_by_rank = {{500, 300, 1000}, {500, 200, 1}, {1, 2, 3}};
  const ServiceName group{"g1"};
  return {
      {1, {}, group, ProposeRecord{"c1", 7, map, 900, 3, Seconds(12), {"a0"}}},
      {2, {}, group, ConfirmRecord{1, 2, {11}, {~std::uint64_t{0}}, 850}},
      {3, {}, group, AbortRecord{1, "no decision \xff"}},
      {4, {}, group, MapRefreshRecord{7, weighted, 600, 900, 3}},
  };
}

// Guards against records that other agents decode differently from what the
// writer encoded.
TEST_CASE("map records are decoded as they were encoded") {
  for (const MapEntry& entry : MakeSampleEntries()) {
    CHECK(DecodeMapEntry({entry.offset, {}, EncodeMapEntry(entry)}) == entry);
  }
}

// Guards against input that makes the decoder throw, and against an unreadable
// entry that loses its offset.
TEST_CASE("decoding damaged map records never throws") {
  std::mt19937_64 random(20240613);
  const auto samples = MakeSampleEntries();
  for (int i = 0; i < 20000; ++i) {
    const std::string text = EncodeMapEntry(samples[random() % samples.size()]);
    REQUIRE(DecodeMapEntry({i, {}, DamageText(text, random)}).offset == i);
  }
  const MapEntry decoded = DecodeMapEntry({9, {}, "{\"type\":\"propose\"}"});
  CHECK(std::holds_alternative<UnreadableMapRecord>(decoded.record));
}

}  // namespace
}  // namespace toucanhollow
