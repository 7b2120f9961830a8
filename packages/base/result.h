// Result<T>: a value or a Failure with a numbered code. For mistakes of users
// and faults of outside systems; violated invariants use check.h.
#ifndef BASE_RESULT_H_
#define BASE_RESULT_H_

#include <string>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include "base/result_code.h"

namespace toucanhollow {

struct Failure {
  ResultCode code;
  // Names the field, the value and the remedy where a user can correct it.
  std::string detail;

  bool operator==(const Failure&) const = default;
};

template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Failure, boost::outcome_v2::policy::terminate>;

inline Failure MakeFailure(ResultCode code, std::string detail) {
  return Failure{code, std::move(detail)};
}

// Formats a failure as one line for logs and operators:
// "2002 record_field_invalid: <detail>".
std::string FormatFailure(const Failure& failure);

}  // namespace toucanhollow

#endif  // BASE_RESULT_H_
