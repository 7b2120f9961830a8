#include "process_signals/process_signals.h"

#include <csignal>

namespace toucanhollow {
namespace {

// These functions run before the address sanitizer is initialised.
__attribute__((no_sanitize("address", "undefined"))) void ChangeMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigprocmask(how, &signals, nullptr);
}

}  // namespace

__attribute__((no_sanitize("address", "undefined"))) void
BlockProcessSignals() {
  ChangeMask(SIG_BLOCK);
}

void UnblockProcessSignals() {
  ChangeMask(SIG_UNBLOCK);
}

__attribute__((no_sanitize("address", "undefined"))) void
IgnoreHarmlessSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  std::signal(SIGXCPU, SIG_IGN);
  std::signal(SIGALRM, SIG_IGN);
  std::signal(SIGPROF, SIG_IGN);
  std::signal(SIGVTALRM, SIG_IGN);
  std::signal(SIGIO, SIG_IGN);
  std::signal(SIGPWR, SIG_IGN);
  std::signal(SIGUSR1, SIG_IGN);
  std::signal(SIGUSR2, SIG_IGN);
}

}  // namespace toucanhollow
