// SupervisedProcess: one process of the system under test. It must run until it
// is told to end, then end with status 0 within its grace time, and is started
// again. Anything else breaks a promise.
#ifndef SOAK_SUPERVISED_PROCESS_H_
#define SOAK_SUPERVISED_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_loop/event_loop.h"
#include "soak/check_promises.h"
#include "soak/fault_log.h"
#include "soak/plan_signals.h"
#include "standins/process/child_process.h"

namespace toucanhollow {

struct ProcessOptions {
  std::string name;
  std::vector<std::string> arguments;
  std::string log_file;
  ProcessLimits limits;
  // From SIGTERM or SIGINT to SIGKILL.
  Duration grace = Seconds(4);
  // SIGHUP, SIGTERM and SIGINT come no earlier than this after the start.
  Duration first_signal_after{0};
  // They come also while the dynamic loader works, when no code of the program
  // can handle them.
  bool signals_while_loading = true;
  // It starts with SIGHUP, SIGTERM and SIGINT blocked.
  bool signals_blocked_at_start = false;
  // Called before each start and each SIGHUP, if it is not empty.
  std::function<void()> write_settings;
  // Called when the process is started again.
  std::function<void()> on_restart;
};

// Whether a process that was sent SIGKILL had ended by itself before: the
// kernel keeps the status of the end that began first.
bool EndedBeforeKill(int wait_status);

class SupervisedProcess {
 public:
  SupervisedProcess(EventLoop& loop,
                    FaultLog& log,
                    Ledger& ledger,
                    ProcessOptions options);

  void Start();
  // Sends SIGTERM or SIGINT. The process is started again `pause` after its
  // end. May be called again while the process ends. The signal waits until
  // the process is old enough for signals.
  void Terminate(int signal, Duration pause);
  void Kill(Duration pause);
  void Pause();
  void Resume();
  void Play(const SignalSeries& series);

  // The last time that the process was killed or stood still.
  TimePoint disturbed_at() const;
  // When the process was first told to end; empty if it was not. Holds until
  // the next one starts.
  std::optional<TimePoint> stopping_since() const { return this->stopping; }
  Duration grace() const { return this->options.grace; }
  const std::string& name() const { return this->options.name; }

 private:
  void Send(int signal);
  void PlaySignals(const std::vector<SentSignal>& signals, Duration pause);
  // How long a signal has to wait still.
  Duration SignalWait(int signal);
  void PlaySignal(int signal, Duration pause);
  void TerminateNow(int signal, Duration pause);
  void Check(TimePoint now);
  void NoteEnd();

  EventLoop& loop;
  FaultLog& log;
  Ledger& ledger;
  ProcessOptions options;
  ChildProcess process;
  bool running = false;
  bool killed = false;
  // It was killed since its grace time had ended.
  bool grace_over = false;
  bool paused = false;
  bool loaded = false;
  std::optional<TimePoint> stopping;
  TimePoint started;
  TimePoint disturbed;
  TimePoint start_at;
  Duration restart_pause{0};
  std::optional<SignalSeries> at_next_start;
  std::vector<std::unique_ptr<Timer>> signals;
  Timer ticker;
};

}  // namespace toucanhollow

#endif  // SOAK_SUPERVISED_PROCESS_H_
