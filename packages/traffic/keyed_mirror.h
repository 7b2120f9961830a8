// KeyedMirror: a local copy of a keyed topic, with the newest record of each
// key.
//
// Records arrive from reads of the log, from pages of newest records that do
// not form a consistent snapshot, and from peers, in any order and more than
// once. The record with the highest offset wins, so a key never goes back to an
// older value.
//
// A mirror also has a position in the log, and the log is read from there on. A
// change before the position that the mirror lacks is therefore never read. So
// the position passes a stretch of the log only with a batch that covers every
// change in it, removals included. MergeBatch is the only function that moves
// it.
#ifndef TRAFFIC_KEYED_MIRROR_H_
#define TRAFFIC_KEYED_MIRROR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/log_entry.h"

namespace toucanhollow {

struct KeyedRecord {
  std::string key;
  // Empty if the record removes the key.
  std::optional<std::string> value;
  LogOffset offset = 0;

  bool operator==(const KeyedRecord&) const = default;
};

struct KeyedMirror {
  std::map<std::string, KeyedRecord> records;
  // The position: for each key, `records` holds the newest record before this
  // offset or a newer one. A key without a record had no value there, or is
  // removed by a later record.
  LogOffset end = 0;
  // Removals from this offset on are all in `records`. Earlier ones may be
  // missing: a read of the newest records does not list them, and old ones are
  // dropped.
  LogOffset removals_from = 0;

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

struct RecordBatch {
  BatchCoverage coverage = BatchCoverage::kSomeRecords;
  std::vector<KeyedRecord> records;
  LogOffset from = 0;  // kChanges only
  LogOffset end = 0;

  bool operator==(const RecordBatch&) const = default;
};

// Removed keys whose records are retained, so that peers learn of the removals.
// A merge may exceed this until the next one.
inline constexpr std::size_t kMaxTombstones = 4096;

// Merges the records of the batch and moves the position to its end if it
// covers every change from the position on. Returns the keys whose newest
// record changed; `records` holds each of them until the next merge.
std::vector<std::string> MergeBatch(KeyedMirror& mirror,
                                    const RecordBatch& batch);

// A batch for a mirror whose position is `from`: the changes since then, or all
// keys if this mirror lacks some of the removals.
RecordBatch MakeBatch(const KeyedMirror& mirror, LogOffset from);

}  // namespace toucanhollow

#endif  // TRAFFIC_KEYED_MIRROR_H_
