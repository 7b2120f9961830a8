// The start of the program. It links the C library alone, so that the dynamic
// loader is soon done and signals are handled from then on (early_signals.cc).
// The rest is a shared library, which needs some 40 others.
#include <dlfcn.h>
#include <unistd.h>

#include <cstdio>

#include "apps/run_toucanhollow.h"

namespace {

constexpr int kExitCannotLoad = 127;

}  // namespace

int main(int argc, char** argv) {
  void* library = dlopen(TOUCANHOLLOW_LIBRARY, RTLD_LAZY | RTLD_GLOBAL);
  void* run = library == nullptr ? nullptr : dlsym(library, "RunToucanhollow");
  if (run == nullptr) {
    std::fprintf(stderr, "the program cannot be loaded: %s\n", dlerror());
    return kExitCannotLoad;
  }
  return reinterpret_cast<decltype(&RunToucanhollow)>(run)(argc, argv);
}
