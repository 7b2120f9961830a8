#include "base/field_failure.h"

namespace toucanhollow {

Failure InvalidField(const std::string& field,
                     const std::string& value,
                     const std::string& remedy) {
  return MakeFailure(ResultCode::kRecordFieldInvalid,
                     field + " is '" + value + "'; " + remedy);
}

Failure MissingField(const std::string& field, const std::string& remedy) {
  return MakeFailure(ResultCode::kRecordFieldMissing,
                     field + " is missing; " + remedy);
}

}  // namespace toucanhollow
