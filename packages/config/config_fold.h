// The fold over stream `config`. Which record is accepted follows from the
// envelopes alone, so that every process accepts the same records.
//
// Invariants:
// - C1 A record is accepted if and only if its expected revision is the
//   subject's revision at its offset. A second append of an accepted record is
//   void by this rule, so that publishing is idempotent.
// - C2 A record is decided only if everything about its subject up to its
//   offset is known: read without a gap, or told by a refresh or snapshot.
//   Otherwise it stays undecided and what was in force stays.
// - C3 What is in force for a subject never goes back to a lower offset; copies
//   merge by the highest original offset.
// - C4 Reading records, refreshes and snapshots in any order, any number of
//   times, ends in the same accepted copies once the same offsets are known.
#ifndef CONFIG_CONFIG_FOLD_H_
#define CONFIG_CONFIG_FOLD_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/log_entry.h"
#include "base/result.h"
#include "base/time.h"
#include "config/config_record.h"

namespace toucanhollow {

// Outcomes of changes that are kept for publishers that read back. At 5,000
// changes a day this is most of a day.
constexpr std::size_t kMaxRetainedChanges = 4096;

struct SubjectState {
  // Everything about the subject up to this offset is in `copies`.
  LogOffset as_of = -1;
  SubjectCopies copies;
  // Records that cannot be decided yet, by ascending offset.
  std::vector<PublishedRecord> undecided;
  // The time stamp of the last entry that carried a copy of `copies`.
  WallTime copies_written_at;

  bool operator==(const SubjectState&) const = default;
};

enum class ChangeOutcome {
  kAccepted,
  kVoid,       // the expected revision was not the current one
  kDuplicate,  // accepted before, by another append of the same change
  // A later record is known instead; whether this one stood in between is not.
  kSuperseded,
  kUndecided,
};

struct ChangeRecord {
  std::string change_id;
  LogOffset offset = 0;
  ChangeOutcome outcome = ChangeOutcome::kUndecided;

  bool operator==(const ChangeRecord&) const = default;
};

struct ConfigState {
  LogOffset next_offset = 1;
  // Entries from here to next_offset were read without a gap.
  LogOffset contiguous_from = 1;
  // Subjects that are not in `subjects` did not exist as of this offset.
  LogOffset complete_as_of = 0;
  std::map<ConfigSubject, SubjectState> subjects;
  std::deque<ChangeRecord> changes;
  // Set once the log was read to its end or a snapshot was merged.
  bool has_source = false;

  bool operator==(const ConfigState&) const = default;
};

// Something that operators should learn. Codes: kRecordMalformed,
// kRecordFieldMissing, kRecordFieldInvalid, kRecordSchemaUnknown,
// kRecordUnknownField, kRecordRevisionConflict, kRecordDuplicate,
// kRecordUndecided.
struct ConfigReport {
  LogOffset offset = 0;
  ConfigSubject subject;
  Failure failure{ResultCode::kRecordMalformed, {}};

  bool operator==(const ConfigReport&) const = default;
};

struct ConfigStep {
  ConfigState state;
  std::vector<ConfigReport> reports;
};

// Folds the next entry. Entries below `next_offset` change nothing; a higher
// offset means that the log dropped the entries between.
ConfigStep FoldEntry(ConfigState state, const ConfigEntry& entry);

// Merges what a peer knows.
ConfigStep MergeSnapshot(ConfigState state, const ConfigSnapshot& snapshot);

// Notes the offset of the last entry as a read of the log reported it.
ConfigState ObserveConfigLogEnd(ConfigState state, LogOffset end);

ConfigSnapshot TakeSnapshot(const ConfigState& state);

// The offset up to which all records of the subject are decided; -1 if nothing
// is known.
LogOffset KnownAsOf(const ConfigState& state, const ConfigSubject& subject);

// True if entries were dropped by the log before they were read, and no
// refresh or snapshot has told yet what they held for every subject.
bool HasConfigGap(const ConfigState& state);

// What became of a change, for a publisher whose append answer was lost; none
// if no record with this id was read. The best outcome of several appends.
std::optional<ChangeRecord> FindChange(const ConfigState& state,
                                       const std::string& change_id);

// The revision to expect in the next record of the subject.
LogOffset GetRevision(const ConfigState& state, const ConfigSubject& subject);

// The highest offset that this process has taken in, for comparison by
// heartbeats.
LogOffset ConfigOffset(const ConfigState& state);

}  // namespace toucanhollow

#endif  // CONFIG_CONFIG_FOLD_H_
