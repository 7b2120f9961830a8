// KeyedMirror: a copy of a keyed topic, the newest record of each key.
//
// Records come from reads of the log, from pages of newest records that are no
// snapshot, and from peers, in any order and more than once. The record with
// the highest offset wins, so a key never goes back to an older value.
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

// Removed keys that are remembered, so that an older record that arrives late
// cannot bring them back.
inline constexpr std::size_t kMaxRemovedKeys = 4096;

// Merges records and returns the keys whose newest record changed.
std::vector<std::string> MergeRecords(KeyedMirror& mirror,
                                      const std::vector<KeyedRecord>& records);

// Merges a complete read of all keys. `end` is the end of the topic when the
// read began: keys that are older and missing have been removed.
std::vector<std::string> MergeAllKeys(KeyedMirror& mirror,
                                      const std::vector<KeyedRecord>& records,
                                      LogOffset end);

// The records at or after the offset, in order of offset.
std::vector<KeyedRecord> RecordsFrom(const KeyedMirror& mirror,
                                     LogOffset offset);

}  // namespace toucanhollow

#endif  // TRAFFIC_KEYED_MIRROR_H_
