// Merging of the copies of one subject. The merge keeps the highest offset for
// the latest copy, each schema version and the removal. It is therefore
// commutative and idempotent, and never returns to a lower offset.
#ifndef CONFIG_SUBJECT_COPIES_H_
#define CONFIG_SUBJECT_COPIES_H_

#include "base/log_entry.h"
#include "config/config_record.h"

namespace toucanhollow {

// Adds one accepted copy.
SubjectCopies AcceptCopy(SubjectCopies copies, ConfigCopy copy);

SubjectCopies MergeCopies(SubjectCopies copies, const SubjectCopies& other);

// The offset of the latest accepted record, 0 if there is none.
LogOffset GetRevision(const SubjectCopies& copies);

// The latest valid copy that has not been removed since; null if there is none.
const ConfigCopy* FindCopyInForce(const SubjectCopies& copies);

}  // namespace toucanhollow

#endif  // CONFIG_SUBJECT_COPIES_H_
