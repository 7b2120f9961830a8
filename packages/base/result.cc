#include "base/result.h"

namespace toucanhollow {

std::string FormatFailure(const Failure& failure) {
  const ResultCodeDescription& description = DescribeResultCode(failure.code);
  return std::to_string(static_cast<int>(failure.code)) + " " +
         std::string(description.name) + ": " + failure.detail;
}

}  // namespace toucanhollow
