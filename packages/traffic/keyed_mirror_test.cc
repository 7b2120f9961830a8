#include "traffic/keyed_mirror.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

RecordBatch Some(std::vector<KeyedRecord> records, LogOffset end = 0) {
  return {BatchCoverage::kSomeRecords, std::move(records), 0, end};
}

RecordBatch Changes(LogOffset from,
                    std::vector<KeyedRecord> records,
                    LogOffset end) {
  return {BatchCoverage::kChanges, std::move(records), from, end};
}

RecordBatch AllKeys(std::vector<KeyedRecord> records, LogOffset end) {
  return {BatchCoverage::kAllKeys, std::move(records), 0, end};
}

bool Has(const KeyedMirror& mirror, const std::string& key) {
  const auto found = mirror.records.find(key);
  return found != mirror.records.end() && found->second.value.has_value();
}

// Guards against a configuration that goes back to an older record when a
// record arrives late.
TEST_CASE("an older record never replaces a newer one") {
  KeyedMirror mirror;
  CHECK(MergeBatch(mirror, Some({{"k", "new", 7}})).size() == 1);
  CHECK(MergeBatch(mirror, Some({{"k", "old", 5}})).empty());
  CHECK(mirror.records.at("k").value == "new");
  CHECK(MergeBatch(mirror, Some({{"k", std::nullopt, 8}})).size() == 1);
  CHECK(MergeBatch(mirror, Some({{"k", "new", 7}})).empty());
  CHECK_FALSE(mirror.records.at("k").value.has_value());
}

// Guards against removing a key whose record arrived while the pages were read
// and which they therefore lack.
TEST_CASE("a complete read removes only keys older than its start") {
  KeyedMirror mirror;
  MergeBatch(mirror, Some({{"gone", "x", 1}, {"late", "y", 12}}));
  MergeBatch(mirror, AllKeys({{"kept", "z", 3}}, 10));
  CHECK_FALSE(mirror.records.at("gone").value.has_value());
  CHECK(mirror.records.at("late").value == "y");
  CHECK(mirror.end == 10);
  CHECK(MakeBatch(mirror, 10).records.size() == 1);
}

// Guards against the loss of a removal that a peer which has just started did
// not read.
TEST_CASE("a mirror that lacks removals passes on all of its keys") {
  KeyedMirror behind;
  MergeBatch(behind, AllKeys({{"left", "x", 3}, {"kept", "y", 4}}, 5));
  // "left" was removed at offset 6.
  KeyedMirror restarted;
  MergeBatch(restarted, AllKeys({{"kept", "y", 8}}, 9));
  const RecordBatch batch = MakeBatch(restarted, behind.end);
  CHECK(batch.coverage == BatchCoverage::kAllKeys);
  CHECK(MergeBatch(behind, batch) == std::vector<std::string>{"kept", "left"});
  CHECK_FALSE(Has(behind, "left"));
  CHECK(behind.end == 9);
}

// Guards against the same loss after the log dropped its history.
TEST_CASE("a second complete read does not vouch for the changes before it") {
  KeyedMirror mirror;
  MergeBatch(mirror, AllKeys({}, 2));
  MergeBatch(mirror, Changes(2, {{"a", "x", 2}}, 3));
  CHECK(MakeBatch(mirror, 2).coverage == BatchCoverage::kChanges);
  MergeBatch(mirror, AllKeys({{"a", "x", 2}}, 9));
  CHECK(MakeBatch(mirror, 3).coverage == BatchCoverage::kAllKeys);
  CHECK(MakeBatch(mirror, 9).coverage == BatchCoverage::kChanges);
}

// Guards against the same loss through removals that were dropped for their
// number.
TEST_CASE("a mirror without its oldest removals does not vouch for them") {
  KeyedMirror mirror;
  std::vector<KeyedRecord> removals;
  const auto count = static_cast<LogOffset>(kMaxTombstones) + 10;
  for (LogOffset offset = 0; offset < count; ++offset) {
    removals.push_back({"k" + std::to_string(offset), std::nullopt, offset});
  }
  MergeBatch(mirror, Changes(0, removals, count));
  CHECK(MakeBatch(mirror, 9).coverage == BatchCoverage::kChanges);
  MergeBatch(mirror, Changes(count, {}, count));
  CHECK(mirror.records.size() == kMaxTombstones);
  CHECK(MakeBatch(mirror, 9).coverage == BatchCoverage::kAllKeys);
  CHECK(MakeBatch(mirror, 10).coverage == BatchCoverage::kChanges);
  // A key whose removal was dropped does not come back with a late record.
  CHECK(MergeBatch(mirror, Some({{"k3", "late", 3}})).empty());
}

// Guards against a position that passes changes which the batch does not cover.
TEST_CASE("only a batch without gaps moves the position") {
  KeyedMirror mirror;
  MergeBatch(mirror, AllKeys({{"a", "x", 1}}, 4));
  MergeBatch(mirror, Some({{"b", "y", 9}}, 12));
  CHECK(mirror.end == 4);
  MergeBatch(mirror, Changes(6, {{"c", "z", 8}}, 12));
  CHECK(mirror.end == 4);
  MergeBatch(mirror, Changes(3, {{"d", "z", 5}}, 7));
  CHECK(mirror.end == 7);
  // The records count although their batch did not move the position.
  CHECK(Has(mirror, "b"));
  CHECK(Has(mirror, "c"));
  MergeBatch(mirror, AllKeys({{"a", "x", 1}}, 6));
  CHECK(mirror.end == 7);
}

// Guards against any order of reads, fetches, restarts and dropped history in
// which a host goes on from a position with a key that was removed before it.
TEST_CASE("hosts that exchange batches agree with the log at their position") {
  constexpr int kHosts = 4;
  constexpr int kKeys = 6;
  constexpr int kSteps = 400;
  for (unsigned int seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    std::vector<KeyedRecord> log;
    std::vector<KeyedMirror> mirrors(kHosts);
    std::vector<std::pair<std::size_t, RecordBatch>> in_flight;
    const auto end = [&log] { return static_cast<LogOffset>(log.size()); };
    const auto newest = [&log](LogOffset before) {
      std::map<std::string, KeyedRecord> records;
      for (const KeyedRecord& record : log) {
        if (record.offset < before) {
          records[record.key] = record;
        }
      }
      std::erase_if(records,
                    [](const auto& entry) { return !entry.second.value; });
      return records;
    };
    // True if a mirror at this position still reads a removal of the key.
    const auto will_read_removal = [&log](const std::string& key,
                                          LogOffset position) {
      return std::ranges::any_of(log, [&](const KeyedRecord& record) {
        return record.key == key && !record.value && record.offset >= position;
      });
    };
    for (int step = 0; step < kSteps; ++step) {
      KeyedMirror& mirror = mirrors[random() % kHosts];
      switch (random() % 8) {
        case 0:
        case 1: {
          KeyedRecord record{"k" + std::to_string(random() % kKeys), "v",
                             end()};
          if (random() % 2 == 0) {
            record.value.reset();
          }
          log.push_back(record);
          break;
        }
        case 2: {
          // A read of the log, or of a part of what is new.
          const LogOffset until =
              mirror.end + static_cast<LogOffset>(random() % 4);
          RecordBatch batch = Changes(mirror.end, {}, mirror.end);
          for (const KeyedRecord& record : log) {
            if (record.offset >= mirror.end && record.offset < until) {
              batch.records.push_back(record);
              batch.end = record.offset + 1;
            }
          }
          MergeBatch(mirror, batch);
          break;
        }
        case 3:
          if (random() % 4 == 0) {
            mirror = {};
          }
          break;
        case 4:
          if (mirror.end == 0 || random() % 6 == 0) {
            // The page may be newer than the end that it states.
            RecordBatch batch = AllKeys({}, end() - random() % 2);
            batch.end = std::max<LogOffset>(batch.end, 0);
            for (const auto& [key, record] : newest(end())) {
              batch.records.push_back(record);
            }
            MergeBatch(mirror, batch);
          }
          break;
        case 5:
        case 6: {
          // A fetch from a peer, whose reply may come late.
          const std::size_t to = random() % kHosts;
          RecordBatch batch = MakeBatch(mirror, mirrors[to].end);
          if (random() % 4 == 0) {
            // A peer of an earlier version.
            batch.coverage = BatchCoverage::kSomeRecords;
          }
          in_flight.emplace_back(to, std::move(batch));
          break;
        }
        default:
          if (!in_flight.empty()) {
            const auto [to, batch] = in_flight[random() % in_flight.size()];
            MergeBatch(mirrors[to], batch);
          }
          break;
      }
      for (const KeyedMirror& checked : mirrors) {
        const auto expected = newest(checked.end);
        for (const KeyedRecord& written : log) {
          const std::string& key = written.key;
          const auto known = checked.records.find(key);
          const bool has = Has(checked, key);
          const bool is_ahead = has && known->second.offset >= checked.end;
          // The page of all keys may be newer than its end.
          if (has != expected.contains(key) && !is_ahead &&
              (has || !will_read_removal(key, checked.end))) {
            FAIL("seed " << seed << ", step " << step << ", key " << key);
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace toucanhollow
