#include "ctl/publish.h"

#include <utility>
#include <vector>

#include "log_codec/config_codec.h"

namespace toucanhollow {
namespace {

// An append whose acknowledgement was lost may appear in the log late, and the
// log may be unreachable while it is read back.
constexpr int kMaxReadBackAttempts = 20;
constexpr Duration kReadBackInterval = Milliseconds(500);

PublishOutcome MakePublishOutcome(const ConfigState& state,
                                  const ConfigSubject& subject,
                                  const ChangeRecord& change) {
  PublishOutcome outcome;
  outcome.revision = GetRevision(state, subject);
  switch (change.outcome) {
    case ChangeOutcome::kAccepted:
      outcome.accepted = true;
      outcome.revision = change.offset;
      return outcome;
    case ChangeOutcome::kDuplicate:
      outcome.code = ResultCode::kRecordDuplicate;
      outcome.detail =
          "a record with this change identifier was accepted before";
      return outcome;
    case ChangeOutcome::kVoid:
    case ChangeOutcome::kSuperseded:
      outcome.code = ResultCode::kRecordRevisionConflict;
      outcome.detail = "another record was accepted first; read revision " +
                       std::to_string(outcome.revision) +
                       " and publish the change again on top of it";
      return outcome;
    case ChangeOutcome::kUndecided:
      break;
  }
  outcome.code = ResultCode::kRecordUndecided;
  outcome.detail =
      "the log has dropped entries that the outcome depends on; the next "
      "refresh "
      "decides it, so read the subject again in a few seconds";
  return outcome;
}

PublishOutcome MakeUnconfirmedOutcome(const std::string& change_id) {
  PublishOutcome outcome;
  outcome.code = ResultCode::kLogAppendUnconfirmed;
  outcome.detail = "change " + change_id +
                   " was not found when the log was read back; it may still "
                   "appear. Read the subject before you publish again";
  return outcome;
}

}  // namespace

PublishOutcome PublishRecord(LogSession& session,
                             PublishedRecord record,
                             std::optional<LogOffset> expected,
                             const std::string& change_id) {
  std::vector<ConfigReport> reports;
  Result<ConfigState> before = session.ReadConfig(ConfigState(), reports);
  if (!before) {
    return {false, 0, ResultCode::kLogUnreachable,
            before.error().detail + "; nothing was published"};
  }
  record.expected_revision =
      expected.value_or(GetRevision(before.value(), record.subject));
  record.copy.change_id = change_id;
  const LogAppendOutcome append = session.Append(EncodeRecord(record));
  if (append.end == AppendEnd::kNotAppended) {
    return {false, GetRevision(before.value(), record.subject),
            ResultCode::kLogUnreachable,
            append.detail + "; nothing was published"};
  }
  ConfigState state = std::move(before.value());
  for (int attempt = 0; attempt < kMaxReadBackAttempts; ++attempt) {
    Result<ConfigState> after = session.ReadConfig(state, reports);
    if (after) {
      state = std::move(after.value());
      if (const auto change = FindChange(state, change_id)) {
        return MakePublishOutcome(state, record.subject, *change);
      }
    }
    session.Wait(kReadBackInterval);
  }
  return MakeUnconfirmedOutcome(change_id);
}

}  // namespace toucanhollow
