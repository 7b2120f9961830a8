#include "config/config_fold.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "config/subject_copies.h"

namespace toucanhollow {
namespace {

// Extends an offset over the entries that were read without a gap after it.
LogOffset ExtendOverReadEntries(const ConfigState& state, LogOffset as_of) {
  return as_of >= state.contiguous_from - 1
             ? std::max(as_of, state.next_offset - 1)
             : as_of;
}

void RecordChangeOutcome(ConfigState& state,
                         const std::string& change_id,
                         LogOffset offset,
                         ChangeOutcome outcome) {
  const auto found =
      std::ranges::find(state.changes, offset, &ChangeRecord::offset);
  if (found != state.changes.end()) {
    found->outcome = outcome;
    return;
  }
  state.changes.push_back({change_id, offset, outcome});
  if (state.changes.size() > kMaxRetainedChanges) {
    state.changes.pop_front();
  }
}

bool WasAccepted(const ConfigState& state, const std::string& change_id) {
  return std::ranges::any_of(state.changes, [&](const ChangeRecord& change) {
    return change.change_id == change_id &&
           change.outcome == ChangeOutcome::kAccepted;
  });
}

void ReportFindings(ConfigStep& step,
                    const ConfigSubject& subject,
                    const ConfigCopy& copy) {
  for (const Failure& finding : copy.findings) {
    step.reports.push_back({copy.offset, subject, finding});
  }
}

// Decides a record whose subject is known up to the offset before it (C1).
void DecideRecord(ConfigStep& step,
                  SubjectState& subject,
                  const PublishedRecord& record) {
  const ConfigCopy& copy = record.copy;
  const LogOffset revision = GetRevision(subject.copies);
  if (record.expected_revision == revision) {
    RecordChangeOutcome(step.state, copy.change_id, copy.offset,
                        ChangeOutcome::kAccepted);
    subject.copies = AcceptCopy(std::move(subject.copies), copy);
    ReportFindings(step, record.subject, copy);
    return;
  }
  const bool duplicate = WasAccepted(step.state, copy.change_id);
  RecordChangeOutcome(
      step.state, copy.change_id, copy.offset,
      duplicate ? ChangeOutcome::kDuplicate : ChangeOutcome::kVoid);
  step.reports.push_back(
      {copy.offset, record.subject,
       MakeFailure(duplicate ? ResultCode::kRecordDuplicate
                             : ResultCode::kRecordRevisionConflict,
                   "change '" + copy.change_id + "': expected_revision " +
                       std::to_string(record.expected_revision) + " is not " +
                       std::to_string(revision) +
                       (duplicate ? "; nothing to do"
                                  : "; read the subject and publish again"))});
}

// The outcome of the record at `offset`, derived from copies that are decided
// up to a later offset.
ChangeOutcome OutcomeFromCopies(const SubjectCopies& copies, LogOffset offset) {
  const LogOffset revision = GetRevision(copies);
  if (revision == offset) {
    return ChangeOutcome::kAccepted;
  }
  return revision > offset ? ChangeOutcome::kSuperseded : ChangeOutcome::kVoid;
}

// Sets the outcomes of the undecided records that a refresh or snapshot covers,
// then decides the later ones.
void SettleUndecided(ConfigStep& step, SubjectState& subject) {
  const LogOffset decided_up_to =
      std::max(subject.as_of, step.state.complete_as_of);
  const bool is_contiguous = decided_up_to >= step.state.contiguous_from - 1;
  std::vector<PublishedRecord> undecided = std::move(subject.undecided);
  subject.undecided.clear();
  for (PublishedRecord& record : undecided) {
    const LogOffset offset = record.copy.offset;
    if (offset <= decided_up_to) {
      RecordChangeOutcome(step.state, record.copy.change_id, offset,
                          OutcomeFromCopies(subject.copies, offset));
    } else if (is_contiguous) {
      DecideRecord(step, subject, record);
    } else {
      subject.undecided.push_back(std::move(record));
    }
  }
}

void MergeSubject(ConfigStep& step, const SubjectSnapshot& snapshot) {
  SubjectState& subject = step.state.subjects[snapshot.subject];
  subject.copies = MergeCopies(std::move(subject.copies), snapshot.copies);
  subject.as_of = std::max(subject.as_of, snapshot.as_of);
  SettleUndecided(step, subject);
}

struct RecordFolder {
  ConfigStep& step;
  const ConfigEntry& entry;

  void operator()(const UnreadableRecord& record) const {
    this->step.reports.push_back({this->entry.offset, {}, record.failure});
  }

  void operator()(const PublishedRecord& published) const {
    PublishedRecord record = published;
    record.copy.offset = this->entry.offset;
    const LogOffset known = KnownAsOf(this->step.state, record.subject);
    if (known >= this->entry.offset) {
      // A refresh or snapshot has already decided this record.
      SubjectState& subject = this->step.state.subjects[record.subject];
      const ChangeOutcome outcome =
          OutcomeFromCopies(subject.copies, this->entry.offset);
      RecordChangeOutcome(this->step.state, record.copy.change_id,
                          this->entry.offset, outcome);
      if (outcome == ChangeOutcome::kAccepted) {
        subject.copies_written_at =
            std::max(subject.copies_written_at, this->entry.time);
      }
      return;
    }
    SubjectState& subject = this->step.state.subjects[record.subject];
    if (known == this->entry.offset - 1) {
      DecideRecord(this->step, subject, record);
      if (GetRevision(subject.copies) == this->entry.offset) {
        subject.copies_written_at =
            std::max(subject.copies_written_at, this->entry.time);
      }
      return;
    }
    RecordChangeOutcome(this->step.state, record.copy.change_id,
                        this->entry.offset, ChangeOutcome::kUndecided);
    this->step.reports.push_back(
        {this->entry.offset, record.subject,
         MakeFailure(ResultCode::kRecordUndecided,
                     "change '" + record.copy.change_id +
                         "': earlier records of the subject are not known; "
                         "a refresh or a peer's snapshot will decide it")});
    subject.undecided.push_back(std::move(record));
  }

  void operator()(const ConfigRefresh& refresh) const {
    for (const SubjectSnapshot& snapshot : refresh.subjects) {
      MergeSubject(this->step, snapshot);
      SubjectState& subject = this->step.state.subjects[snapshot.subject];
      if (GetRevision(subject.copies) == GetRevision(snapshot.copies)) {
        subject.copies_written_at =
            std::max(subject.copies_written_at, this->entry.time);
      }
    }
  }
};

// Stores up to which offset each subject was known before the gap, then
// restarts the contiguous range after it.
ConfigState RestartAfterGap(ConfigState state, LogOffset next_read) {
  for (auto& [name, subject] : state.subjects) {
    subject.as_of = KnownAsOf(state, name);
  }
  state.complete_as_of = ExtendOverReadEntries(state, state.complete_as_of);
  state.contiguous_from = next_read;
  return state;
}

}  // namespace

ConfigStep FoldEntry(ConfigState state, const ConfigEntry& entry) {
  ConfigStep step{std::move(state), {}};
  if (entry.offset < step.state.next_offset) {
    return step;
  }
  if (entry.offset > step.state.next_offset) {
    step.state = RestartAfterGap(std::move(step.state), entry.offset);
    step.state.next_offset = entry.offset;
  }
  std::visit(RecordFolder{step, entry}, entry.record);
  step.state.next_offset = entry.offset + 1;
  return step;
}

ConfigStep MergeSnapshot(ConfigState state, const ConfigSnapshot& snapshot) {
  ConfigStep step{std::move(state), {}};
  for (const SubjectSnapshot& subject : snapshot.subjects) {
    MergeSubject(step, subject);
  }
  if (snapshot.complete_as_of > step.state.complete_as_of) {
    step.state.complete_as_of = snapshot.complete_as_of;
    for (auto& [name, subject] : step.state.subjects) {
      SettleUndecided(step, subject);
    }
  }
  step.state.has_source = step.state.has_source || snapshot.complete_as_of >= 0;
  return step;
}

ConfigState ObserveConfigLogEnd(ConfigState state, LogOffset end) {
  state.has_source = state.has_source || state.next_offset > end;
  return state;
}

ConfigSnapshot TakeSnapshot(const ConfigState& state) {
  ConfigSnapshot snapshot;
  // A snapshot of a process without configuration must not make others ready.
  snapshot.complete_as_of =
      state.has_source ? ExtendOverReadEntries(state, state.complete_as_of)
                       : -1;
  for (const auto& [name, subject] : state.subjects) {
    if (subject.copies.latest) {
      snapshot.subjects.push_back(
          {name, KnownAsOf(state, name), subject.copies});
    }
  }
  return snapshot;
}

LogOffset KnownAsOf(const ConfigState& state, const ConfigSubject& subject) {
  const auto found = state.subjects.find(subject);
  LogOffset as_of = state.complete_as_of;
  if (found != state.subjects.end()) {
    as_of = std::max(as_of, found->second.as_of);
  }
  return ExtendOverReadEntries(state, as_of);
}

bool HasConfigGap(const ConfigState& state) {
  return KnownAsOf(state, {}) < state.next_offset - 1;
}

std::optional<ChangeRecord> FindChange(const ConfigState& state,
                                       const std::string& change_id) {
  std::optional<ChangeRecord> best;
  for (const ChangeRecord& change : state.changes) {
    if (change.change_id == change_id &&
        (!best || change.outcome == ChangeOutcome::kAccepted)) {
      best = change;
    }
  }
  return best;
}

LogOffset GetRevision(const ConfigState& state, const ConfigSubject& subject) {
  const auto found = state.subjects.find(subject);
  return found == state.subjects.end() ? 0 : GetRevision(found->second.copies);
}

LogOffset ConfigOffset(const ConfigState& state) {
  return std::max(state.next_offset - 1, state.complete_as_of);
}

}  // namespace toucanhollow
