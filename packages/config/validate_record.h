// Validation of a record's content, for publishers and for every reader.
#ifndef CONFIG_VALIDATE_RECORD_H_
#define CONFIG_VALIDATE_RECORD_H_

#include <vector>

#include "base/result.h"
#include "config/config_record.h"

namespace toucanhollow {

// Returns all errors in the content, each with field, value and remedy. Codes:
// kRecordFieldMissing, kRecordFieldInvalid.
std::vector<Failure> ValidateRecord(const ConfigSubject& subject,
                                    const ConfigContent& content);

// Returns all errors in the envelope, which publishers must correct before they
// append the record. Codes: kRecordFieldMissing, kRecordFieldInvalid.
std::vector<Failure> ValidateEnvelope(const PublishedRecord& record);

}  // namespace toucanhollow

#endif  // CONFIG_VALIDATE_RECORD_H_
