#include "soak/supervised_process.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>
#include <utility>

namespace toucanhollow {
namespace {

constexpr Duration kCheckPeriod = Milliseconds(5);
constexpr Duration kLoadingCheckPeriod = Milliseconds(1);

// 0 if there is no such file.
std::uintmax_t FileSize(const std::string& file) {
  std::error_code error;
  const std::uintmax_t size = std::filesystem::file_size(file, error);
  return error ? 0 : size;
}

std::string LastLine(const std::string& file) {
  constexpr std::uintmax_t kMostBytes = 2000;
  std::ifstream in(file);
  const std::uintmax_t size = FileSize(file);
  in.seekg(static_cast<std::streamoff>(size - std::min(size, kMostBytes)));
  std::string line;
  std::string last;
  while (std::getline(in, line)) {
    last = line;
  }
  return last;
}

}  // namespace

bool EndedBeforeKill(int wait_status) {
  return !WIFSIGNALED(wait_status) || WTERMSIG(wait_status) != SIGKILL;
}

SupervisedProcess::SupervisedProcess(EventLoop& loop,
                                     FaultLog& log,
                                     Ledger& ledger,
                                     ProcessOptions options)
    : loop(loop),
      log(log),
      ledger(ledger),
      options(std::move(options)),
      process(this->options.arguments,
              this->options.log_file,
              this->options.limits),
      ticker(loop, kCheckPeriod, kCheckPeriod, [this] {
        this->Check(EventLoop::Now());
      }) {}

void SupervisedProcess::Start() {
  if (this->options.write_settings) {
    this->options.write_settings();
  }
  this->process.Start(this->options.signals_blocked_at_start
                          ? StartMask::kSignalsBlocked
                          : StartMask::kInherited);
  this->running = true;
  this->killed = false;
  this->grace_over = false;
  this->paused = false;
  this->loaded = false;
  this->stopping.reset();
  this->started = EventLoop::Now();
  this->log.Note({{"started", this->options.name},
                  {"log_bytes", FileSize(this->options.log_file)}});
  if (this->at_next_start) {
    const SignalSeries series = *std::exchange(this->at_next_start, {});
    this->PlaySignals(series.signals, series.restart_pause);
  }
}

void SupervisedProcess::Send(int signal) {
  if (this->running) {
    const Duration age = EventLoop::Now() - this->started;
    this->log.Note({{"signal", signal},
                    {"to", this->options.name},
                    {"handled", this->process.Handles(signal)},
                    {"age_ms", ToMilliseconds(age)}});
    this->process.Signal(signal);
  }
}

void SupervisedProcess::Terminate(int signal, Duration pause) {
  if (this->running) {
    this->PlaySignal(signal, pause);
  }
}

void SupervisedProcess::TerminateNow(int signal, Duration pause) {
  if (!this->running) {
    return;
  }
  if (!this->stopping) {
    this->stopping = EventLoop::Now();
  }
  this->restart_pause = pause;
  this->Send(signal);
}

void SupervisedProcess::Kill(Duration pause) {
  if (!this->running) {
    return;
  }
  this->disturbed = EventLoop::Now();
  this->killed = true;
  this->restart_pause = pause;
  this->Send(SIGKILL);
}

void SupervisedProcess::Pause() {
  this->paused = true;
  this->Send(SIGSTOP);
}

void SupervisedProcess::Resume() {
  if (this->paused) {
    this->paused = false;
    this->disturbed = EventLoop::Now();
    this->Send(SIGCONT);
  }
}

TimePoint SupervisedProcess::disturbed_at() const {
  // A process that was killed can still accept connections for a moment, and
  // one that stood still while it ended has lost that part of its grace time.
  const bool disturbed_now =
      this->paused ||
      (this->running && (this->killed || (this->stopping &&
                                          this->disturbed >= *this->stopping)));
  return disturbed_now ? EventLoop::Now() : this->disturbed;
}

void SupervisedProcess::Play(const SignalSeries& series) {
  if (series.at_next_start) {
    this->at_next_start = series;
    this->Terminate(SIGTERM, series.restart_pause);
    return;
  }
  this->PlaySignals(series.signals, series.restart_pause);
}

void SupervisedProcess::PlaySignals(const std::vector<SentSignal>& signals,
                                    Duration pause) {
  for (const SentSignal& sent : signals) {
    this->signals.push_back(std::make_unique<Timer>(
        this->loop, sent.after, Duration(0),
        [this, sent, pause] { this->PlaySignal(sent.signal, pause); }));
  }
}

// The process may have given up its handlers when it ends, so the program is
// looked at only until it has begun.
Duration SupervisedProcess::SignalWait(int signal) {
  const Duration age = EventLoop::Now() - this->started;
  if (age < this->options.first_signal_after) {
    return this->options.first_signal_after - age;
  }
  this->loaded = this->loaded || this->options.signals_while_loading ||
                 this->process.Handles(signal);
  return this->loaded ? Duration(0) : kLoadingCheckPeriod;
}

void SupervisedProcess::PlaySignal(int signal, Duration pause) {
  const Duration wait = this->SignalWait(signal);
  if (wait > Duration(0)) {
    this->signals.push_back(std::make_unique<Timer>(
        this->loop, wait, Duration(0),
        [this, signal, pause] { this->PlaySignal(signal, pause); }));
  } else if (signal == SIGHUP) {
    if (this->options.write_settings) {
      this->options.write_settings();
    }
    this->Send(SIGHUP);
  } else {
    this->TerminateNow(signal, pause);
  }
}

void SupervisedProcess::Check(TimePoint now) {
  NoteTick(this->ledger, now);
  if (!this->running) {
    const bool started_before = this->started != TimePoint();
    if (started_before && now >= this->start_at) {
      this->Start();
      if (this->options.on_restart) {
        this->options.on_restart();
      }
    }
    return;
  }
  if (!this->process.IsRunning()) {
    this->start_at = now + this->restart_pause;
    this->NoteEnd();
    this->running = false;
    return;
  }
  if (!this->stopping || this->killed || this->paused ||
      now < *this->stopping + this->options.grace) {
    return;
  }
  this->grace_over =
      std::max(this->disturbed, this->ledger.stalled_at) < *this->stopping;
  this->Kill(this->restart_pause);
}

void SupervisedProcess::NoteEnd() {
  const int status = this->process.status();
  const Duration age = EventLoop::Now() - this->started;
  const std::string last_line = LastLine(this->options.log_file);
  this->log.Note({{"ended", this->options.name},
                  {"wait_status", status},
                  {"age_ms", ToMilliseconds(age)},
                  {"log_bytes", FileSize(this->options.log_file)},
                  {"last_line", last_line}});
  // Connections of a process that was disturbed end with it.
  this->disturbed = std::max(this->disturbed, this->disturbed_at());
  if (this->killed && !this->grace_over) {
    return;
  }
  if (this->grace_over && !EndedBeforeKill(status)) {
    NoteBroken(this->ledger,
               this->options.name + ": still ran at the end of its grace time");
    return;
  }
  const std::string end = ": ended with wait status " + std::to_string(status) +
                          ", " + std::to_string(ToMilliseconds(age)) +
                          " ms after its start, its log ends with " + last_line;
  if (!this->stopping) {
    NoteBroken(this->ledger, this->options.name + end + ", by itself");
  } else if (status != 0) {
    NoteBroken(this->ledger, this->options.name + end);
  }
}

}  // namespace toucanhollow
