#include "json_log/fatal_signal.h"

#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <string_view>
#include <utility>

// The first byte of the program, defined by the linker.
extern "C" const char __executable_start;  // NOLINT: name of the linker.

namespace toucanhollow {
namespace {

constexpr std::size_t kStackBytes = std::size_t{32} * 1024;

std::string& Fields() {
  static std::string fields;
  return fields;
}

// Everything below runs in a signal handler: it allocates nothing and takes no
// lock.
struct Line {
  std::array<char, 512> bytes{};
  std::size_t size = 0;

  void Append(std::string_view text) {
    const std::size_t count =
        std::min(text.size(), this->bytes.size() - this->size);
    std::memcpy(this->bytes.data() + this->size, text.data(), count);
    this->size += count;
  }

  void AppendNumber(std::uint64_t number, int base = 10) {
    std::array<char, 20> digits{};
    const std::to_chars_result end = std::to_chars(
        digits.data(), digits.data() + digits.size(), number, base);
    this->Append({digits.data(), end.ptr});
  }

  void AppendTime(const std::timespec& time) {
    constexpr std::uint64_t kThousand = 1000;
    const auto milliseconds =
        static_cast<std::uint64_t>(time.tv_nsec) / (kThousand * kThousand);
    this->AppendNumber(static_cast<std::uint64_t>(time.tv_sec));
    this->Append(milliseconds < 10 ? ".00" : milliseconds < 100 ? ".0" : ".");
    this->AppendNumber(milliseconds);
  }
};

std::uintptr_t ProgramCounter(const void* context) {
  const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
  return static_cast<std::uintptr_t>(machine.gregs[REG_RIP]);
#elif defined(__aarch64__)
  return machine.pc;
#endif
}

void WriteWithoutBlocking(std::string_view text) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
    // The process ends in any case.
    [[maybe_unused]] const ssize_t written =
        write(STDOUT_FILENO, text.data(), text.size());
  }
}

void OnFatalSignal(int signal, siginfo_t* info, void* context) {
  std::timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  Line line;
  line.Append("{\"time\":");
  line.AppendTime(now);
  line.Append(Fields());
  line.Append(",\"signal\":");
  line.AppendNumber(static_cast<std::uint64_t>(signal));
  line.Append(",\"address\":\"0x");
  line.AppendNumber(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
  line.Append("\",\"program_offset\":\"0x");
  line.AppendNumber(ProgramCounter(context) -
                        reinterpret_cast<std::uintptr_t>(&__executable_start),
                    16);
  line.Append("\"}\n");
  WriteWithoutBlocking({line.bytes.data(), line.size});
  // Its default action follows when the handler returns.
  raise(signal);
}

}  // namespace

void LogFatalSignals(std::string fields) {
  Fields() = std::move(fields);
  // A stack of its own, for a signal that comes from the end of the other one.
  static std::array<std::byte, kStackBytes> bytes;
  stack_t stack{};
  stack.ss_sp = bytes.data();
  stack.ss_size = bytes.size();
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_sigaction = OnFatalSignal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
  for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGQUIT}) {
    struct sigaction present {};
    sigaction(signal, nullptr, &present);
    if (present.sa_handler == SIG_DFL) {
      sigaction(signal, &action, nullptr);
    }
  }
}

}  // namespace toucanhollow
