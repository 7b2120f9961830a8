// Blocks signals before the constructors of the shared libraries and of the
// program run. Only the dynamic loader runs earlier.
#include "process_signals/process_signals.h"

namespace toucanhollow {
namespace {

__attribute__((no_sanitize("address", "undefined"))) void PrepareSignals() {
  BlockProcessSignals();
  IgnoreHarmlessSignals();
}

using InitFunction = void (*)();
[[gnu::section(".preinit_array"),
  gnu::used]] constinit InitFunction prepare_signals = PrepareSignals;

}  // namespace
}  // namespace toucanhollow
