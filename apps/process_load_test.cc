// Starts of the real program beside other libraries.
#include <string>

#include <catch2/catch.hpp>

#include "apps/process_site.h"

namespace toucanhollow {
namespace {

#ifdef __SANITIZE_ADDRESS__
// The sanitizer wraps dlopen, and refuses to be the second library.
constexpr const char* kWrapOpen = "true";
#else
constexpr const char* kWrapOpen = "export LD_PRELOAD=" WRAPPED_DLOPEN;
#endif

// Guards against a program that finds its library only if nothing wraps dlopen.
TEST_CASE("a process starts although another library wraps dlopen") {
  for (const ProcessRole role : {ProcessRole::kRelay, ProcessRole::kRankAgent,
                                 ProcessRole::kEntryHost}) {
    TestProcess process(role, 1, std::string(kWrapOpen));
    process.Start();
    CHECK(process.WaitForStart());
  }
}

}  // namespace
}  // namespace toucanhollow
