#include "traffic/keyed_mirror.h"

#include <algorithm>
#include <set>

namespace toucanhollow {
namespace {

void PruneTombstones(KeyedMirror& mirror) {
  std::vector<LogOffset> removed;
  for (const auto& [key, record] : mirror.records) {
    if (!record.value) {
      removed.push_back(record.offset);
    }
  }
  if (removed.size() <= kMaxTombstones) {
    return;
  }
  const auto middle = removed.begin() + static_cast<std::ptrdiff_t>(
                                            removed.size() - kMaxTombstones);
  std::ranges::nth_element(removed, middle);
  std::erase_if(mirror.records, [&](const auto& entry) {
    return !entry.second.value && entry.second.offset < *middle;
  });
  mirror.removals_from = std::max(mirror.removals_from, *middle);
}

bool CoversPosition(const KeyedMirror& mirror, const RecordBatch& batch) {
  return batch.coverage == BatchCoverage::kAllKeys ||
         (batch.coverage == BatchCoverage::kChanges &&
          batch.from <= mirror.end);
}

// True if the mirror already reflects all records before its position. A batch
// of all keys that ends later is more authoritative than the mirror.
bool IsOutdated(const KeyedMirror& mirror,
                const RecordBatch& batch,
                const KeyedRecord& record) {
  const bool replaces_mirror =
      batch.coverage == BatchCoverage::kAllKeys && batch.end >= mirror.end;
  return !replaces_mirror && record.offset < mirror.end;
}

void MergeRecords(KeyedMirror& mirror,
                  const RecordBatch& batch,
                  std::set<std::string>& changed) {
  for (const KeyedRecord& record : batch.records) {
    if (IsOutdated(mirror, batch, record)) {
      continue;
    }
    const auto [entry, inserted] =
        mirror.records.try_emplace(record.key, record);
    if (!inserted && entry->second.offset >= record.offset) {
      continue;
    }
    entry->second = record;
    changed.insert(record.key);
  }
}

// Removes the keys that a batch of all keys lacks.
void RemoveMissingKeys(KeyedMirror& mirror,
                       const RecordBatch& batch,
                       std::set<std::string>& changed) {
  std::set<std::string> present;
  for (const KeyedRecord& record : batch.records) {
    present.insert(record.key);
  }
  for (auto& [key, record] : mirror.records) {
    if (record.value && record.offset < batch.end && !present.contains(key)) {
      record.value.reset();
      record.offset = batch.end - 1;
      changed.insert(key);
    }
  }
}

}  // namespace

std::vector<std::string> MergeBatch(KeyedMirror& mirror,
                                    const RecordBatch& batch) {
  PruneTombstones(mirror);
  std::set<std::string> changed;
  MergeRecords(mirror, batch, changed);
  if (batch.coverage == BatchCoverage::kAllKeys) {
    RemoveMissingKeys(mirror, batch, changed);
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

RecordBatch MakeBatch(const KeyedMirror& mirror, LogOffset from) {
  const bool has_all_removals = from >= mirror.removals_from;
  RecordBatch batch;
  batch.coverage =
      has_all_removals ? BatchCoverage::kChanges : BatchCoverage::kAllKeys;
  batch.from = has_all_removals ? from : 0;
  batch.end = mirror.end;
  for (const auto& [key, record] : mirror.records) {
    if (has_all_removals ? record.offset >= from : record.value.has_value()) {
      batch.records.push_back(record);
    }
  }
  std::ranges::sort(batch.records, {}, &KeyedRecord::offset);
  return batch;
}

}  // namespace toucanhollow
