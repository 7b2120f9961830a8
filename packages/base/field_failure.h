// Failures of fields of records, worded alike for operators.
#ifndef BASE_FIELD_FAILURE_H_
#define BASE_FIELD_FAILURE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"

namespace toucanhollow {

// A text of others is quoted up to this length in messages. A value in a record
// may have 250 KB.
inline constexpr std::size_t kMaxQuotedBytes = 80;

// The text, or its beginning with "..." if it is longer than kMaxQuotedBytes.
std::string QuoteText(std::string_view text);

// Returns kRecordFieldInvalid with the text "<field> is '<value>'; <remedy>",
// with the value as QuoteText gives it.
Failure InvalidField(const std::string& field,
                     const std::string& value,
                     const std::string& remedy);
// Returns kRecordFieldMissing with the text "<field> is missing; <remedy>".
Failure MissingField(const std::string& field, const std::string& remedy);

}  // namespace toucanhollow

#endif  // BASE_FIELD_FAILURE_H_
