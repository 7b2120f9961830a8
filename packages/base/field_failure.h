// Failures of fields of records, worded alike for operators.
#ifndef BASE_FIELD_FAILURE_H_
#define BASE_FIELD_FAILURE_H_

#include <string>

#include "base/result.h"

namespace toucanhollow {

// Returns kRecordFieldInvalid with the text "<field> is '<value>'; <remedy>".
Failure InvalidField(const std::string& field,
                     const std::string& value,
                     const std::string& remedy);
// Returns kRecordFieldMissing with the text "<field> is missing; <remedy>".
Failure MissingField(const std::string& field, const std::string& remedy);

}  // namespace toucanhollow

#endif  // BASE_FIELD_FAILURE_H_
