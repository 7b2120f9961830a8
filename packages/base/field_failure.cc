#include "base/field_failure.h"

namespace toucanhollow {

std::string QuoteText(std::string_view text) {
  std::string quoted(text.substr(0, kMaxQuotedBytes));
  if (quoted.size() < text.size()) {
    quoted += "...";
  }
  return quoted;
}

Failure InvalidField(const std::string& field,
                     const std::string& value,
                     const std::string& remedy) {
  return MakeFailure(ResultCode::kRecordFieldInvalid,
                     field + " is '" + QuoteText(value) + "'; " + remedy);
}

Failure MissingField(const std::string& field, const std::string& remedy) {
  return MakeFailure(ResultCode::kRecordFieldMissing,
                     field + " is missing; " + remedy);
}

}  // namespace toucanhollow
