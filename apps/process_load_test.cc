// Starts of the real program beside other libraries.
#include <string>

#include <catch2/catch.hpp>

#include "apps/process_site.h"

namespace toucanhollow {
namespace {

// Becomes the program that is linked with a library that wraps dlopen.
constexpr const char* kWrapOpen = "exec " WRAPPED_PROGRAM " \"$@\"";

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
