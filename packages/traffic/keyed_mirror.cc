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
}

}  // namespace

std::vector<std::string> MergeRecords(KeyedMirror& mirror,
                                      const std::vector<KeyedRecord>& records) {
  std::set<std::string> changed;
  bool any_removed = false;
  for (const KeyedRecord& record : records) {
    const auto [entry, inserted] =
        mirror.records.try_emplace(record.key, record);
    if (!inserted && entry->second.offset >= record.offset) {
      continue;
    }
    entry->second = record;
    any_removed = any_removed || !record.value;
    changed.insert(record.key);
  }
  if (any_removed) {
    PruneTombstones(mirror);
  }
  return {changed.begin(), changed.end()};
}

std::vector<std::string> MergeFullRead(KeyedMirror& mirror,
                                       const std::vector<KeyedRecord>& records,
                                       LogOffset end) {
  std::vector<std::string> changed = MergeRecords(mirror, records);
  std::set<std::string> present;
  for (const KeyedRecord& record : records) {
    present.insert(record.key);
  }
  for (auto& [key, record] : mirror.records) {
    if (record.value && record.offset < end && !present.contains(key)) {
      record.value.reset();
      record.offset = end - 1;
      changed.push_back(key);
    }
  }
  mirror.end = std::max(mirror.end, end);
  mirror.complete = true;
  return changed;
}

std::vector<KeyedRecord> RecordsFrom(const KeyedMirror& mirror,
                                     LogOffset offset) {
  std::vector<KeyedRecord> found;
  for (const auto& [key, record] : mirror.records) {
    if (record.offset >= offset) {
      found.push_back(record);
    }
  }
  std::ranges::sort(found, {}, &KeyedRecord::offset);
  return found;
}

}  // namespace toucanhollow
