#include "scenario/config_holder.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "config/config_view.h"
#include "config/subject_copies.h"
#include "log_codec/config_codec.h"

namespace toucanhollow {

ConfigSubject DataCentreSubject(const std::string& data_centre) {
  return {std::string(kDataCentreKind), data_centre};
}

std::string DataCentreText(bool out) {
  DataCentreContent content;
  content.in_service = !out;
  content.region = "region";
  return EncodeContent(content);
}

ConfigHolder::ConfigHolder(World& world,
                           std::string process,
                           Incarnation incarnation)
    : world(world), process(std::move(process)), incarnation(incarnation) {}

bool ConfigHolder::Fold(const LogEntry& entry) {
  ConfigEntry decoded = DecodeConfig(entry);
  if (auto* record = std::get_if<PublishedRecord>(&decoded.record)) {
    if (this->world.Has(Defect::kAcceptAnyRevision)) {
      record->expected_revision = GetRevision(this->state, record->subject);
    }
    if (this->world.Has(Defect::kDropUndecided) &&
        KnownAsOf(this->state, record->subject) < entry.offset - 1) {
      record->expected_revision = GetRevision(this->state, record->subject);
      this->state.subjects[record->subject].as_of = entry.offset - 1;
    }
  }
  this->state = FoldEntry(std::move(this->state), decoded).state;
  return this->ObserveChanges();
}

bool ConfigHolder::Merge(const Snapshot& snapshot) {
  const Result<ConfigSnapshot> decoded = DecodeSnapshot(snapshot.text);
  if (decoded.has_value()) {
    if (this->world.Has(Defect::kSnapshotReverts)) {
      for (const SubjectSnapshot& subject : decoded.value().subjects) {
        this->state.subjects[subject.subject].copies = {};
      }
    }
    this->state = MergeSnapshot(std::move(this->state), decoded.value()).state;
  }
  return this->ObserveChanges();
}

void ConfigHolder::NoteEnd(LogOffset end) {
  this->state = ObserveConfigLogEnd(std::move(this->state), end);
}

Snapshot ConfigHolder::Take() const {
  return {.as_of = this->Offset(),
          .text = EncodeSnapshot(TakeSnapshot(this->state))};
}

bool ConfigHolder::HasGap() const {
  return HasConfigGap(this->state);
}

bool ConfigHolder::IsOut(const std::string& data_centre) const {
  const ConfigView view = MakeConfigView(this->state);
  const auto found = view.data_centres.find(DataCentreName{data_centre});
  return found == view.data_centres.end() || !found->second.content.in_service;
}

bool ConfigHolder::ObserveChanges() {
  bool changed = false;
  for (const auto& [subject, subject_state] : this->state.subjects) {
    const ConfigCopy* copy = FindCopyInForce(subject_state.copies);
    const LogOffset revision = copy == nullptr ? 0 : copy->offset;
    LogOffset& seen = this->observed[subject];
    if (copy != nullptr && seen != revision) {
      const bool replaces = std::exchange(seen, revision) != 0;
      changed = true;
      this->world.seen.records.push_back(
          {.time = this->world.Now(),
           .process = this->process,
           .incarnation = this->incarnation.value,
           .subject = subject.name,
           .revision = revision,
           .content = copy->text});
      if (replaces) {
        this->world.Reach(Moment::kRecordRead, this->process);
      }
    }
  }
  return changed;
}

}  // namespace toucanhollow
