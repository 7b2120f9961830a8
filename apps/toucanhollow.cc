// The start of the program. It links the C library alone, so that the dynamic
// loader is soon done and signals are handled from then on (early_signals.cc).
// The rest is a shared library, which needs some 40 others.
#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

#include "apps/run_toucanhollow.h"

namespace {

constexpr int kExitCannotLoad = 127;
constexpr std::string_view kLibrary = TOUCANHOLLOW_LIBRARY;

// Opens the library beside the program. The run path of the program, which is
// used where /proc is missing, does not count if another library, such as that
// of a sanitizer, wraps dlopen.
void* OpenLibrary() {
  constexpr int kFlags = RTLD_LAZY | RTLD_GLOBAL;
  std::array<char, PATH_MAX> path{};
  const ssize_t length =
      readlink("/proc/self/exe", path.data(), path.size() - 1);
  const std::string_view program(
      path.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
  const std::size_t name = program.rfind('/') + 1;
  if (length > 0 && name + kLibrary.size() < path.size()) {
    *std::copy(kLibrary.begin(), kLibrary.end(), path.begin() + name) = '\0';
    if (void* library = dlopen(path.data(), kFlags)) {
      return library;
    }
  }
  return dlopen(kLibrary.data(), kFlags);
}

}  // namespace

int main(int argc, char** argv) {
  void* library = OpenLibrary();
  void* run = library == nullptr ? nullptr : dlsym(library, "RunToucanhollow");
  if (run == nullptr) {
    std::fprintf(stderr, "the program cannot be loaded: %s\n", dlerror());
    return kExitCannotLoad;
  }
  return reinterpret_cast<decltype(&RunToucanhollow)>(run)(argc, argv);
}
