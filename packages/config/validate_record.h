// Validation of a record's content, for publishers and for every reader.
#ifndef CONFIG_VALIDATE_RECORD_H_
#define CONFIG_VALIDATE_RECORD_H_

#include <vector>

#include "base/result.h"
#include "config/config_record.h"

namespace toucanhollow {

// Every mistake, each with field, value and remedy. Codes:
// kRecordFieldMissing, kRecordFieldInvalid.
std::vector<Failure> ValidateRecord(const ConfigSubject& subject,
                                    const ConfigContent& content);

// Mistakes of the envelope itself, which publishers must mend.
std::vector<Failure> ValidateEnvelope(const PublishedRecord& record);

// "<field> is <value>; <remedy>".
Failure InvalidField(const std::string& field,
                     const std::string& value,
                     const std::string& remedy);
Failure MissingField(const std::string& field, const std::string& remedy);

}  // namespace toucanhollow

#endif  // CONFIG_VALIDATE_RECORD_H_
