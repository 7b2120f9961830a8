// KeyedMirror: a local copy of a keyed topic, with the newest record of each
// key.
//
// Records arrive from reads of the log, from pages of newest records that do
// not form a consistent snapshot, and from peers, in any order and more than
// once. Within one era of the store the record with the highest offset wins, so
// a key never goes back to an older value.
//
// A mirror also has a position in the log, and the log is read from there on. A
// change before the position that the mirror lacks is therefore never read. So
// the position passes a stretch of the log only with a batch that covers every
// change in it, removals included. MergeBatch is the only function that moves
// it, and only a batch of all keys moves it to another era.
//
// A store that comes back from an older copy lacks what was written after the
// copy, until the writers write it again. Therefore a record of an earlier era
// is held: a record of a later era replaces it unless that is older by its own
// order (RecordOrder), and a key that the later era does not list keeps its
// value. EndHolds ends that.
#ifndef TRAFFIC_KEYED_MIRROR_H_
#define TRAFFIC_KEYED_MIRROR_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/store_position.h"

namespace toucanhollow {

// The order that the writer of a record gives it, whatever the era. It never
// decreases for one key.
struct RecordOrder {
  std::int64_t major = 0;
  std::int64_t minor = 0;

  bool operator==(const RecordOrder&) const = default;
  auto operator<=>(const RecordOrder&) const = default;
};

struct KeyedRecord {
  std::string key;
  // Empty if the record removes the key.
  std::optional<std::string> value;
  StorePosition position;
  // The order of a value that the record does not hold, if it was known: the
  // value was removed, or a summary has replaced it.
  std::optional<RecordOrder> known_order = {};
  // True if no host can use the value.
  bool unusable = false;

  bool operator==(const KeyedRecord&) const = default;
};

// What hosts use of a value.
enum class ValueUse {
  kWhole,
  // Only that the key has a value.
  kPresence,
  // Nothing; the record ends an earlier one of its key.
  kNone,
};

struct ValueReading {
  ValueUse use = ValueUse::kWhole;
  std::string detail;  // why the value is not used, if it is not

  bool operator==(const ValueReading&) const = default;
};

// What the records of a topic mean, as far as a mirror needs it.
struct RecordRules {
  // Empty if the value has no order or cannot be read.
  std::function<std::optional<RecordOrder>(const std::string& key,
                                           const std::string& value)>
      order = [](const std::string&, const std::string&) {
        return std::optional<RecordOrder>();
      };
  // True if values of the key are replaced only by values that are not older by
  // their own order, however long that takes.
  std::function<bool(const std::string& key)> is_permanent =
      [](const std::string&) { return false; };
  std::function<ValueReading(const std::string& key, const std::string& value)>
      read_value =
          [](const std::string&, const std::string&) { return ValueReading{}; };
};

struct KeyedMirror {
  std::map<std::string, KeyedRecord> records;
  // The position: for each key, `records` holds the newest record before this
  // offset or a newer one. A key without a record had no value there, or is
  // removed by a later record.
  StorePosition end;
  // Removals and unusable values from this offset on are all in `records`.
  // Earlier ones may be missing: a read of the newest records does not list
  // removals, and old ones of both are dropped.
  StorePosition removals_from;
  // The newest records of the era of `end` that are older, by their own order,
  // than the records of earlier eras that `records` holds.
  std::map<std::string, KeyedRecord> overtaken;
  // True from the first batch of all keys of an era until the hold of values,
  // or of removals, ends. Only meanwhile are such records of earlier eras taken
  // from peers, as nothing would end their hold later.
  bool takes_held = false;
  bool takes_held_removals = false;
  // Number of unusable records that were dropped for kMaxUnusableRecords.
  std::uint64_t dropped_unusable = 0;

  bool operator==(const KeyedMirror&) const = default;
};

// What the source of a batch vouches for.
enum class BatchCoverage {
  // Nothing: changes between the records may be missing.
  kSomeRecords,
  // The batch holds the newest record before `end`, or a newer one, of each key
  // that changed between `from` and `end`, removals included.
  kChanges,
  // The batch holds the newest record of each key that has a value, as of `end`
  // or later.
  kAllKeys,
};

// The coverage concerns the records of the era of `end`. A batch may also have
// records of earlier eras, which the source holds.
struct RecordBatch {
  BatchCoverage coverage = BatchCoverage::kSomeRecords;
  std::vector<KeyedRecord> records;
  StorePosition from;  // kChanges only; of the same era as `end`
  StorePosition end;

  bool operator==(const RecordBatch&) const = default;
};

// Removed keys whose records are retained, so that peers learn of the removals.
// A merge may exceed this until the next one.
inline constexpr std::size_t kMaxTombstones = 4096;

// Unusable records that are retained, so that peers learn of what they replace.
// Without its record, such a key is as one without a value. A merge may exceed
// this until the next one.
inline constexpr std::size_t kMaxUnusableRecords = 1024;

// Merges the records of the batch and moves the position to its end if it
// covers every change from the position on. Returns the keys whose newest
// record changed; `records` holds each of them until the next merge.
std::vector<std::string> MergeBatch(KeyedMirror& mirror,
                                    const RecordBatch& batch,
                                    const RecordRules& rules = {});

enum class HeldKind { kValues, kRemovals };

// Replaces the held records of this kind by what the era of the position has
// for their keys, except values of permanent keys. Returns the keys whose
// newest record changed.
std::vector<std::string> EndHolds(KeyedMirror& mirror,
                                  HeldKind kind,
                                  const RecordRules& rules = {});

// The number of values that are held from earlier eras.
std::size_t CountHeld(const KeyedMirror& mirror);

// A batch for a mirror whose position is `from`: the changes since then, or all
// keys if this mirror lacks some of the removals or is in another era. Includes
// what this mirror holds from earlier eras.
RecordBatch MakeBatch(const KeyedMirror& mirror, StorePosition from);

}  // namespace toucanhollow

#endif  // TRAFFIC_KEYED_MIRROR_H_
