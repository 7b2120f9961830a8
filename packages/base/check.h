// InternalCheck: aborts the process when an internal invariant does not hold.
// Never used to validate input from outside the process.
#ifndef BASE_CHECK_H_
#define BASE_CHECK_H_

#include <string_view>

namespace toucanhollow {

// Aborts with the condition's description if `holds` is false.
void InternalCheck(bool holds, std::string_view condition);

}  // namespace toucanhollow

#endif  // BASE_CHECK_H_
