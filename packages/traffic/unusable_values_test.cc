#include "traffic/unusable_values.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr StoreEra kEra{1};
constexpr StoreEra kNextEra{2};

// A value is its use, 'w' or 'n', and its order, one digit, in front of any
// other text.
RecordRules TestRules() {
  RecordRules rules;
  rules.read_value = [](const std::string& key, const std::string& value) {
    if (value.starts_with("w")) {
      return ValueReading{};
    }
    return key == "presence"
               ? ValueReading{ValueUse::kPresence, "only the key counts"}
               : ValueReading{ValueUse::kNone, "no server"};
  };
  rules.order = [](const std::string&, const std::string& value) {
    return IsValueSummary(value)
               ? std::nullopt
               : std::optional(RecordOrder{value.at(1) - '0', 0});
  };
  return rules;
}

std::string Long(const std::string& begin) {
  return begin + std::string(250'000, 'x');
}

// Unusable records "u0", "u1", ... from the offset on.
std::vector<KeyedRecord> Unusable(std::size_t count, std::int64_t offset = 0) {
  std::vector<KeyedRecord> records;
  for (std::size_t i = 0; i < count; ++i) {
    records.push_back({"u" + std::to_string(i), "n0", {kEra, offset++}});
  }
  ReduceUnusedValues(records, TestRules());
  return records;
}

std::size_t CountUnusable(const KeyedMirror& mirror) {
  std::size_t count = 0;
  for (const auto& [key, record] : mirror.records) {
    count += record.unusable ? 1 : 0;
  }
  return count;
}

// Guards against a value that is cut although a host uses it, and against one
// that is kept in full although none does.
TEST_CASE("only long values that are not used are replaced") {
  std::vector<KeyedRecord> records = {{"whole", Long("w1"), {kEra, 1}},
                                      {"presence", Long("p2"), {kEra, 2}},
                                      {"none", Long("n3"), {kEra, 3}},
                                      {"short", "n4", {kEra, 4}},
                                      {"removed", std::nullopt, {kEra, 5}}};
  CHECK(ReduceUnusedValues(records, TestRules()) == 2);
  CHECK(records[0] == KeyedRecord{"whole", Long("w1"), {kEra, 1}});
  CHECK_FALSE(records[1].unusable);
  CHECK(records[2].unusable);
  for (const std::size_t replaced : {1U, 2U}) {
    CHECK(IsValueSummary(*records[replaced].value));
    CHECK(records[replaced].known_order ==
          RecordOrder{records[replaced].position.number, 0});
  }
  CHECK(records[2].value->find("250002 bytes") != std::string::npos);
  CHECK(records[2].value->ends_with("no server"));
  CHECK(records[3] ==
        KeyedRecord{"short", "n4", {kEra, 4}, std::nullopt, true});
  CHECK_FALSE(records[4].unusable);
  const std::vector<KeyedRecord> before = records;
  CHECK(ReduceUnusedValues(records, TestRules()) == 0);
  CHECK(records == before);
}

// Guards against a summary longer than the values that it stands for may be.
TEST_CASE("a summary is bounded and differs with the value") {
  const std::string detail(100'000, 'd');
  CHECK(SummarizeValue(Long("a"), detail).size() == kMaxUnusedValueBytes);
  CHECK(IsValueSummary(SummarizeValue(Long("a"), detail)));
  CHECK(SummarizeValue(Long("a"), "") != SummarizeValue(Long("b"), ""));
}

// Guards against unusable records that fill the memory of a host, and against
// usable ones that are dropped with them.
TEST_CASE("a mirror drops unusable records beyond their bound") {
  constexpr std::size_t kMore = 10;
  constexpr auto kCount = kMaxUnusableRecords + kMore;
  KeyedMirror mirror;
  MergeBatch(mirror,
             {BatchCoverage::kAllKeys,
              {{"used", "w1", {kEra, 0}}, {"u0", "w1", {kEra, 1}}},
              {},
              {kEra, 2}},
             TestRules());
  const StorePosition end{kEra, 2 + static_cast<std::int64_t>(kCount)};
  MergeBatch(mirror,
             {BatchCoverage::kChanges, Unusable(kCount, 2), {kEra, 2}, end},
             TestRules());
  MergeBatch(mirror, {BatchCoverage::kChanges, {}, end, end}, TestRules());
  CHECK(CountUnusable(mirror) == kMaxUnusableRecords);
  CHECK(mirror.dropped_unusable == kMore);
  CHECK(mirror.records.at("used").value == "w1");
  CHECK_FALSE(mirror.records.contains("u0"));
  // A peer that knows the usable value which "u0" replaced learns that it is
  // gone.
  KeyedMirror peer;
  MergeBatch(peer,
             {BatchCoverage::kAllKeys,
              {{"used", "w1", {kEra, 0}}, {"u0", "w1", {kEra, 1}}},
              {},
              {kEra, 2}},
             TestRules());
  MergeBatch(peer, MakeBatch(mirror, peer.end), TestRules());
  CHECK(peer.records.at("used").value == "w1");
  CHECK_FALSE(peer.records.at("u0").value.has_value());
  CHECK(peer.end == end);
  // A late copy of the usable value does not come back.
  CHECK(MergeBatch(
            mirror,
            {BatchCoverage::kSomeRecords, {{"u0", "w1", {kEra, 1}}}, {}, end},
            TestRules())
            .empty());
}

// Guards against a usable record that is lost with the unusable one which is
// held in its place after a restore of the store.
TEST_CASE("an unusable record that hides a usable one is not dropped") {
  KeyedMirror mirror;
  std::vector<KeyedRecord> held = {{"a", Long("n5"), {kEra, 0}}};
  ReduceUnusedValues(held, TestRules());
  MergeBatch(mirror, {BatchCoverage::kAllKeys, held, {}, {kEra, 1}},
             TestRules());
  MergeBatch(mirror,
             {BatchCoverage::kAllKeys,
              {{"a", "w3", {kNextEra, 0}}},
              {},
              {kNextEra, 1}},
             TestRules());
  CHECK(mirror.overtaken.contains("a"));
  const std::vector<KeyedRecord> unusable = Unusable(kMaxUnusableRecords + 10);
  std::vector<KeyedRecord> moved = unusable;
  for (KeyedRecord& record : moved) {
    record.position = {kNextEra, record.position.number + 1};
  }
  const StorePosition end{kNextEra,
                          1 + static_cast<std::int64_t>(moved.size())};
  MergeBatch(mirror, {BatchCoverage::kChanges, moved, {kNextEra, 1}, end},
             TestRules());
  MergeBatch(mirror, {BatchCoverage::kChanges, {}, end, end}, TestRules());
  CHECK(mirror.dropped_unusable == 10);
  EndHolds(mirror, HeldKind::kValues, TestRules());
  CHECK(mirror.records.at("a").value == "w3");
}

// Guards against pages of unusable records that are all held until the last one
// has been read.
TEST_CASE("pages keep usable records and a bounded number of others") {
  std::vector<KeyedRecord> records;
  CHECK(AppendPage(records, {{"a", "w1", {kEra, 0}}}) == 0);
  CHECK(AppendPage(records, Unusable(kMaxUnusableRecords - 1)) == 0);
  CHECK(AppendPage(records, Unusable(3)) == 2);
  CHECK(AppendPage(records, {{"b", "w1", {kEra, 9}}}) == 0);
  CHECK(records.size() == kMaxUnusableRecords + 2);
  CHECK(records.back().key == "b");
}

}  // namespace
}  // namespace toucanhollow
