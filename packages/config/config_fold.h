// The state that results from reading stream `config` in order (a fold).
// Whether a record is accepted depends only on the records' envelopes (subject,
// expected revision, change id), so that every process accepts the same
// records.
//
// Invariants:
// - C1 A record is accepted if and only if its expected revision is the
//   subject's revision at its offset. By this rule a second append of an
//   accepted record is void, so that publishing is idempotent.
// - C2 A record is decided only if everything about its subject up to its
//   offset is known: read without a gap, or received by a refresh or snapshot.
//   Otherwise it stays undecided, and the copy in force stays in force.
// - C3 The copy in force for a subject is never replaced by one with a lower
//   offset; copies merge by the highest original offset.
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

// Number of change outcomes retained for publishers that look up their change
// later. At 5,000 changes a day this covers most of a day.
constexpr std::size_t kMaxRetainedChanges = 4096;

struct SubjectState {
  // Everything about the subject up to this offset is in `copies`.
  LogOffset as_of = -1;
  SubjectCopies copies;
  // Records that cannot be decided yet, by ascending offset.
  std::vector<PublishedRecord> undecided;
  // Time stamp of the last log entry that held the latest of `copies`.
  WallTime copies_written_at;

  bool operator==(const SubjectState&) const = default;
};

enum class ChangeOutcome {
  kAccepted,
  kVoid,       // the expected revision was not the current one
  kDuplicate,  // accepted before, by another append of the same change
  // A later record of the subject is accepted; whether this one was accepted
  // before it is not known.
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

// A problem of a record, to be shown to operators. Codes: kRecordMalformed,
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

// Applies the next entry. Entries below `next_offset` change nothing; a higher
// offset means that the log dropped the entries in between.
ConfigStep FoldEntry(ConfigState state, const ConfigEntry& entry);

// Merges a peer's snapshot.
ConfigStep MergeSnapshot(ConfigState state, const ConfigSnapshot& snapshot);

// Applies the offset of the last entry, as reported by a read of the log.
ConfigState ObserveConfigLogEnd(ConfigState state, LogOffset end);

ConfigSnapshot TakeSnapshot(const ConfigState& state);

// The offset up to which all records of the subject are decided; -1 if nothing
// is known.
LogOffset KnownAsOf(const ConfigState& state, const ConfigSubject& subject);

// True if the log dropped entries before they were read, and no refresh or
// snapshot has yet supplied what they held for every subject.
bool HasConfigGap(const ConfigState& state);

// The outcome of a change, for a publisher whose append answer was lost; none
// if no record with this id was read. Of several appends, the accepted one
// counts, or the first if none was accepted.
std::optional<ChangeRecord> FindChange(const ConfigState& state,
                                       const std::string& change_id);

// The expected revision to put into the next record of the subject.
LogOffset GetRevision(const ConfigState& state, const ConfigSubject& subject);

// The highest offset that the state reflects. Heartbeats carry it, so that
// processes can compare theirs.
LogOffset ConfigOffset(const ConfigState& state);

}  // namespace toucanhollow

#endif  // CONFIG_CONFIG_FOLD_H_
