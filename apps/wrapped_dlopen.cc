// Wraps dlopen, as the libraries of sanitizers and profilers do, for tests.
#include <dlfcn.h>

extern "C" void* dlopen(const char* file, int mode) noexcept {
  using Open = void* (*)(const char*, int);
  const auto next = reinterpret_cast<Open>(dlsym(RTLD_NEXT, "dlopen"));
  // Not returned at once: a tail call would hide this library from dlopen.
  void* const volatile opened = next(file, mode);
  return opened;
}
