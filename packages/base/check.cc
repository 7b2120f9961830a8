#include "base/check.h"

#include <cstdio>
#include <cstdlib>

namespace toucanhollow {

void InternalCheck(bool holds, std::string_view condition) {
  if (holds) {
    return;
  }
  std::fprintf(stderr, "internal error: condition does not hold: %.*s\n",
               static_cast<int>(condition.size()), condition.data());
  std::abort();
}

}  // namespace toucanhollow
