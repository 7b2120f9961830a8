// Publishes one record and finds out what became of it.
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
  // The new revision if accepted, else the current one where it is known.
  LogOffset revision = 0;
  // kAnswered if accepted; kRecordRevisionConflict, kRecordDuplicate,
  // kRecordUndecided, kLogUnreachable (certainly not published) or
  // kLogAppendUnconfirmed (not found by reading back; it may still appear).
  ResultCode code = ResultCode::kAnswered;
  std::string detail;

  bool operator==(const PublishOutcome&) const = default;
};

// `expected` is the revision that the operator saw, or none to take the
// current one. `change_id` is new for each publication; with a repeated one a
// record is never accepted twice.
PublishOutcome PublishRecord(LogSession& session,
                             PublishedRecord record,
                             std::optional<LogOffset> expected,
                             const std::string& change_id);

}  // namespace toucanhollow

#endif  // CTL_PUBLISH_H_
