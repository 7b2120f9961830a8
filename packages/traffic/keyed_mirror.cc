#include "traffic/keyed_mirror.h"

#include <algorithm>
#include <set>

namespace toucanhollow {
namespace {

// Drops the oldest of the records that fit, except the newest `limit` of them.
// Returns the number of dropped records.
std::size_t PruneOldest(
    KeyedMirror& mirror,
    std::size_t limit,
    const std::function<bool(const KeyedRecord& record)>& fits) {
  std::vector<StorePosition> positions;
  for (const auto& [key, record] : mirror.records) {
    if (fits(record)) {
      positions.push_back(record.position);
    }
  }
  if (positions.size() <= limit) {
    return 0;
  }
  const auto middle =
      positions.begin() + static_cast<std::ptrdiff_t>(positions.size() - limit);
  std::ranges::nth_element(positions, middle);
  const std::size_t dropped =
      std::erase_if(mirror.records, [&](const auto& entry) {
        return fits(entry.second) && entry.second.position < *middle;
      });
  mirror.removals_from = std::max(mirror.removals_from, *middle);
  return dropped;
}

void PruneTombstones(KeyedMirror& mirror) {
  PruneOldest(mirror, kMaxTombstones,
              [](const KeyedRecord& record) { return !record.value; });
}

void PruneUnusable(KeyedMirror& mirror) {
  mirror.dropped_unusable += PruneOldest(
      mirror, kMaxUnusableRecords, [&mirror](const KeyedRecord& record) {
        // A held one may give way to the record that it has overtaken.
        return record.unusable && !mirror.overtaken.contains(record.key);
      });
}

bool CoversPosition(const KeyedMirror& mirror, const RecordBatch& batch) {
  return batch.coverage == BatchCoverage::kAllKeys ||
         (batch.coverage == BatchCoverage::kChanges &&
          batch.from.era == batch.end.era && batch.from.era == mirror.end.era &&
          batch.from <= mirror.end);
}

// True if the record belongs to an earlier era than the position.
bool IsHeld(const KeyedMirror& mirror, const KeyedRecord& record) {
  return record.position.era < mirror.end.era;
}

std::optional<RecordOrder> FindOrder(const KeyedRecord& record,
                                     const RecordRules& rules) {
  if (record.known_order || !record.value) {
    return record.known_order;
  }
  return rules.order(record.key, *record.value);
}

// Decides between two records of one key. `later` belongs to the later era.
bool LaterEraWins(const KeyedRecord& earlier,
                  const KeyedRecord& later,
                  const RecordRules& rules) {
  if (!later.value) {
    return true;
  }
  const std::optional<RecordOrder> known = FindOrder(earlier, rules);
  if (!known) {
    return true;
  }
  const std::optional<RecordOrder> order = FindOrder(later, rules);
  if (!earlier.value) {
    // A copy may list a key that was removed. Only a writer that still runs
    // writes a higher order.
    return !order || *order > *known;
  }
  return order && *order >= *known;
}

// True if the record replaces the known one of the same key.
bool Replaces(const KeyedRecord& known,
              const KeyedRecord& record,
              const RecordRules& rules) {
  if (record.position.era == known.position.era) {
    return record.position > known.position;
  }
  return record.position.era > known.position.era
             ? LaterEraWins(known, record, rules)
             : !LaterEraWins(record, known, rules);
}

// True if the mirror already reflects all records before its position. A batch
// of all keys that ends later is more authoritative than the mirror.
bool IsOutdated(const KeyedMirror& mirror,
                const RecordBatch& batch,
                const KeyedRecord& record,
                const RecordRules& rules) {
  const bool is_known = mirror.records.contains(record.key);
  if (IsHeld(mirror, record)) {
    if (!is_known) {
      // Era 0 is also that of peers which do not know of eras.
      return !mirror.takes_held || record.position.era == StoreEra{};
    }
    return record.value ? !mirror.takes_held && !rules.is_permanent(record.key)
                        : !mirror.takes_held_removals;
  }
  const bool replaces_mirror =
      batch.coverage == BatchCoverage::kAllKeys && batch.end >= mirror.end;
  return !replaces_mirror && record.position < mirror.end;
}

// Notes a record that the held record of its key has overtaken.
void AddOvertaken(KeyedMirror& mirror, const KeyedRecord& record) {
  if (!record.value) {
    return;
  }
  const auto [entry, inserted] =
      mirror.overtaken.try_emplace(record.key, record);
  if (!inserted && entry->second.position < record.position) {
    entry->second = record;
  }
}

// True if the copy of the store has the known record, which it names by another
// era.
bool IsSameRecord(const KeyedRecord& known, const KeyedRecord& record) {
  return known.position.number == record.position.number &&
         known.value == record.value;
}

// Merges one record. Returns true if that changed the newest record of its key.
bool MergeRecord(KeyedMirror& mirror,
                 const KeyedRecord& record,
                 const RecordRules& rules) {
  const auto [entry, inserted] = mirror.records.try_emplace(record.key, record);
  if (inserted) {
    return true;
  }
  KeyedRecord& known = entry->second;
  if (!Replaces(known, record, rules)) {
    if (record.position.era > known.position.era) {
      AddOvertaken(mirror, record);
    }
    return false;
  }
  if (record.position.era < known.position.era) {
    AddOvertaken(mirror, known);
  } else {
    mirror.overtaken.erase(record.key);
  }
  const bool changed = !IsSameRecord(known, record);
  std::optional<RecordOrder> known_order = record.known_order;
  if (!record.value && !known_order) {
    known_order = FindOrder(known, rules);
  }
  known = record;
  known.known_order = known_order;
  return changed;
}

void Remove(KeyedRecord& record,
            StorePosition position,
            const RecordRules& rules) {
  record.known_order = FindOrder(record, rules);
  record.value.reset();
  record.unusable = false;
  record.position = position;
}

// Removes the keys that a batch of all keys lacks.
void RemoveMissingKeys(KeyedMirror& mirror,
                       const RecordBatch& batch,
                       const RecordRules& rules,
                       std::set<std::string>& changed) {
  std::set<std::string> present;
  for (const KeyedRecord& record : batch.records) {
    if (record.position.era == batch.end.era) {
      present.insert(record.key);
    }
  }
  const auto is_missing = [&](const KeyedRecord& record) {
    return record.value && record.position.era == batch.end.era &&
           record.position < batch.end && !present.contains(record.key);
  };
  for (auto& [key, record] : mirror.records) {
    // A key that only an earlier era listed may be missing in the copy alone.
    const auto overtaken = mirror.overtaken.find(key);
    const bool was_listed =
        overtaken != mirror.overtaken.end() && is_missing(overtaken->second);
    if (was_listed) {
      mirror.overtaken.erase(overtaken);
    }
    if (is_missing(record) ||
        (was_listed && record.value && !rules.is_permanent(key))) {
      Remove(record, {batch.end.era, batch.end.number - 1}, rules);
      changed.insert(key);
    }
  }
}

}  // namespace

std::vector<std::string> MergeBatch(KeyedMirror& mirror,
                                    const RecordBatch& batch,
                                    const RecordRules& rules) {
  PruneTombstones(mirror);
  PruneUnusable(mirror);
  std::set<std::string> changed;
  if (batch.coverage == BatchCoverage::kAllKeys &&
      batch.end.era > mirror.end.era) {
    mirror.overtaken.clear();
    mirror.takes_held = true;
    mirror.takes_held_removals = true;
  }
  for (const KeyedRecord& record : batch.records) {
    if (!IsOutdated(mirror, batch, record, rules) &&
        MergeRecord(mirror, record, rules)) {
      changed.insert(record.key);
    }
  }
  if (batch.coverage == BatchCoverage::kAllKeys) {
    RemoveMissingKeys(mirror, batch, rules, changed);
  }
  if (CoversPosition(mirror, batch) && batch.end > mirror.end) {
    mirror.end = batch.end;
    if (batch.coverage == BatchCoverage::kAllKeys) {
      // Keys that were written and removed in between are not listed.
      mirror.removals_from = batch.end;
    }
  }
  return {changed.begin(), changed.end()};
}

std::vector<std::string> EndHolds(KeyedMirror& mirror,
                                  HeldKind kind,
                                  const RecordRules& rules) {
  (kind == HeldKind::kValues ? mirror.takes_held : mirror.takes_held_removals) =
      false;
  std::vector<std::string> changed;
  for (auto& [key, record] : mirror.records) {
    const HeldKind record_kind =
        record.value ? HeldKind::kValues : HeldKind::kRemovals;
    if (!IsHeld(mirror, record) || record_kind != kind ||
        (record.value && rules.is_permanent(key))) {
      continue;
    }
    const auto overtaken = mirror.overtaken.find(key);
    if (overtaken != mirror.overtaken.end()) {
      record = overtaken->second;
      mirror.overtaken.erase(overtaken);
    } else if (record.value) {
      Remove(record, {mirror.end.era, mirror.end.number - 1}, rules);
    } else {
      continue;
    }
    changed.push_back(key);
  }
  return changed;
}

std::size_t CountHeld(const KeyedMirror& mirror) {
  return static_cast<std::size_t>(
      std::ranges::count_if(mirror.records, [&mirror](const auto& entry) {
        return entry.second.value && IsHeld(mirror, entry.second);
      }));
}

RecordBatch MakeBatch(const KeyedMirror& mirror, StorePosition from) {
  const bool has_all_removals =
      from.era == mirror.end.era && from >= mirror.removals_from;
  RecordBatch batch;
  batch.coverage =
      has_all_removals ? BatchCoverage::kChanges : BatchCoverage::kAllKeys;
  batch.from = has_all_removals ? from : StorePosition{mirror.end.era, 0};
  batch.end = mirror.end;
  for (const auto& [key, record] : mirror.records) {
    // Of the held removals, only those matter whose key the copy lists.
    const bool is_held = IsHeld(mirror, record) &&
                         (record.value || mirror.overtaken.contains(key));
    const bool is_needed =
        is_held ||
        (has_all_removals ? record.position >= from : record.value.has_value());
    if (is_needed) {
      batch.records.push_back(record);
    }
  }
  for (const auto& [key, record] : mirror.overtaken) {
    if (!has_all_removals || record.position >= from) {
      batch.records.push_back(record);
    }
  }
  std::ranges::sort(batch.records, {}, &KeyedRecord::position);
  return batch;
}

}  // namespace toucanhollow
