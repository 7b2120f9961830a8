// KeyedMirror: a local copy of a keyed topic, with the newest record of each
// key.
//
// Records arrive from reads of the log, from pages of newest records that do
// not form a consistent snapshot, and from peers, in any order and more than
// once. The record with the highest offset wins, so a key never goes back to an
// older value.
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
  // All records before this offset have been seen.
  LogOffset end = 0;
  // False until the first complete read.
  bool complete = false;

  bool operator==(const KeyedMirror&) const = default;
};

// Maximum number of records of removed keys that are retained, so that an older
// record that arrives late cannot restore the key.
inline constexpr std::size_t kMaxTombstones = 4096;

// Merges records and returns the keys whose newest record changed.
std::vector<std::string> MergeRecords(KeyedMirror& mirror,
                                      const std::vector<KeyedRecord>& records);

// Merges a complete read of all keys. `end` is the end of the topic when the
// read began: a key that the read lacks has been removed if its record is older
// than `end`. Returns the keys that changed.
std::vector<std::string> MergeFullRead(KeyedMirror& mirror,
                                       const std::vector<KeyedRecord>& records,
                                       LogOffset end);

// The records at or after the offset, sorted by offset.
std::vector<KeyedRecord> RecordsFrom(const KeyedMirror& mirror,
                                     LogOffset offset);

}  // namespace toucanhollow

#endif  // TRAFFIC_KEYED_MIRROR_H_
