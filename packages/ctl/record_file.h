// Reads an operator's record file: a JSON object with "kind", "subject",
// "schema" and "content" (or "removed": true).
#ifndef CTL_RECORD_FILE_H_
#define CTL_RECORD_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/config_record.h"

namespace toucanhollow {

struct RecordReport {
  PublishedRecord record;
  // Mistakes that forbid publication: 2000-2003 and 2005. An unknown field is
  // one here, although readers only report it, because it is most often a
  // misspelt one.
  std::vector<Failure> mistakes;
};

// The change identifier and the expected revision are left empty.
RecordReport ParseRecordFile(std::string_view text);

// The record with its state set to "in_service" or "out"; every other field
// of the content is kept as it was published.
RecordReport ChangeState(const ConfigSubject& subject,
                         const ConfigCopy& current,
                         bool in_service);

}  // namespace toucanhollow

#endif  // CTL_RECORD_FILE_H_
