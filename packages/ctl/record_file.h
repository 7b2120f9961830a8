// Parses an operator's record file: a JSON object with "kind", "subject",
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
  // Failures that prevent publication: result codes 2000-2003 and 2005. An
  // unknown field prevents publication, although readers of the log only report
  // it, because it is usually a misspelt field.
  std::vector<Failure> failures;
};

// Parses and validates a record file. The change identifier and the expected
// revision of the record are placeholders that the publisher replaces.
RecordReport ParseRecordFile(std::string_view text);

// Makes a record from `current` with its state set to "in_service" or "out".
// Every other field of the content stays as it was published.
RecordReport MakeServiceStateRecord(const ConfigSubject& subject,
                                    const ConfigCopy& current,
                                    bool in_service);

}  // namespace toucanhollow

#endif  // CTL_RECORD_FILE_H_
