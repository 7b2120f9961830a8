// Merging of what is known of one subject. The merge takes the highest offset
// in each place, so that it commutes, is idempotent and never goes back.
#ifndef CONFIG_SUBJECT_COPIES_H_
#define CONFIG_SUBJECT_COPIES_H_

#include "base/log_entry.h"
#include "config/config_record.h"

namespace toucanhollow {

// Adds one accepted copy.
SubjectCopies AcceptCopy(SubjectCopies copies, ConfigCopy copy);

SubjectCopies MergeCopies(SubjectCopies copies, const SubjectCopies& other);

// The offset of the last accepted record, 0 if there is none.
LogOffset GetRevision(const SubjectCopies& copies);

// The last good copy that was not removed since, or null.
const ConfigCopy* FindCopyInForce(const SubjectCopies& copies);

}  // namespace toucanhollow

#endif  // CONFIG_SUBJECT_COPIES_H_
