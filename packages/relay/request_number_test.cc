#include "relay/request_number.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against two requests with one number, which ends the process.
TEST_CASE("requests of a long session share no number with other sessions") {
  constexpr std::uint64_t kManyRequests = 1U << 20U;
  CHECK(RequestNumber(1, kManyRequests + 1) != RequestNumber(2, 1));
  CHECK(RequestNumber(1, 1000 * kManyRequests) !=
        RequestNumber(1001, kManyRequests));
  CHECK(RequestNumber(1, 1) != RequestNumber(1, 2));
}

}  // namespace
}  // namespace toucanhollow
