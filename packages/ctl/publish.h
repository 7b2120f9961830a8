// Publishes one configuration record and determines its outcome.
#ifndef CTL_PUBLISH_H_
#define CTL_PUBLISH_H_

#include <optional>
#include <string>

#include "base/log_entry.h"
#include "base/result_code.h"
#include "config/config_record.h"
#include "ctl/log_session.h"

namespace toucanhollow {

struct PublishOutcome {
  bool accepted = false;
  // The new revision if accepted, else the current one, or 0 if it is unknown.
  LogOffset revision = 0;
  // kAnswered if accepted; kRecordRevisionConflict, kRecordDuplicate,
  // kRecordUndecided, kLogUnreachable (the record was not appended) or
  // kLogAppendUnconfirmed (the record was not found when the log was read back,
  // but may still appear in it).
  ResultCode code = ResultCode::kAnswered;
  std::string detail;

  bool operator==(const PublishOutcome&) const = default;
};

// Appends `record` and reads the log back until it contains the record, or
// until the attempts are used up.
// `expected` is the revision that the operator last read; without it, the
// current revision is expected. `change_id` must be new for each publication; a
// record whose `change_id` was accepted before is not accepted again.
PublishOutcome PublishRecord(LogSession& session,
                             PublishedRecord record,
                             std::optional<LogOffset> expected,
                             const std::string& change_id);

}  // namespace toucanhollow

#endif  // CTL_PUBLISH_H_
