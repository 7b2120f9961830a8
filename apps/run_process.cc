#include "apps/run_process.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <utility>

#include "base/time.h"
#include "process_signals/process_signals.h"
#include "settings/settings_file.h"

namespace toucanhollow {
namespace {

// How long a settings file may be missing or empty, as a supervisor may write
// it after the start.
constexpr Duration kMissingSettingsWait = Seconds(30);
// How long a file with mistakes may stay as it is.
constexpr Duration kWrongSettingsWait = Seconds(2);
constexpr Duration kSettingsRetryPeriod = Milliseconds(50);
// A last line without a line end is accepted if the file does not change for so
// long.
constexpr Duration kUnfinishedLineWait = Milliseconds(500);
constexpr Duration kStartRetryPeriod = Milliseconds(100);
// An unchanged reason for a delayed start is logged again after this time.
constexpr Duration kDelayReportPeriod = Seconds(10);

enum class Phase { kReadingSettings, kStarting, kRunning, kStopping, kEnded };

std::string_view PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kReadingSettings:
      return "reading_settings";
    case Phase::kStarting:
      return "starting";
    case Phase::kRunning:
      return "running";
    case Phase::kStopping:
      return "stopping";
    case Phase::kEnded:
      return "ended";
  }
  return "";
}

class ProcessRun {
 public:
  ProcessRun(EventLoop& loop, std::string settings_file, ProcessSteps steps)
      : loop(loop),
        settings_file(std::move(settings_file)),
        steps(std::move(steps)),
        began_at(EventLoop::Now()),
        text_changed_at(began_at) {}

  int Run();

 private:
  void OnStop(std::string_view signal);
  void OnReload();
  void ReadSettings();
  std::vector<Failure> LoadSettings();
  void StartDaemon();
  Result<bool> TryStart();
  void ReportDelay(std::string_view event, const std::string& reason);
  void Retry(Duration delay, void (ProcessRun::*step)());
  void End(int exit_status, std::string_view reason);
  std::int64_t ElapsedMs(TimePoint since) const;

  EventLoop& loop;
  std::string settings_file;
  ProcessSteps steps;
  TimePoint began_at;
  Phase phase = Phase::kReadingSettings;
  std::unique_ptr<Timer> retry_timer;
  // Empty if the file could not be read.
  std::string last_text;
  TimePoint text_changed_at;
  std::string reported_delay;
  TimePoint delay_reported_at;
  std::string stop_signal;
  std::optional<TimePoint> stopped_at;
  int status = kExitFailure;
};

int ProcessRun::Run() {
  const SignalWatcher terminate(this->loop, SIGTERM,
                                [this] { this->OnStop("SIGTERM"); });
  const SignalWatcher interrupt(this->loop, SIGINT,
                                [this] { this->OnStop("SIGINT"); });
  const SignalWatcher reload(this->loop, SIGHUP, [this] { this->OnReload(); });
  // The steps run in the loop, so that signals are handled between them.
  this->Retry(Duration(0), &ProcessRun::ReadSettings);
  UnblockProcessSignals();
  this->loop.Run();
  // The watchers restore the default actions of their signals.
  BlockProcessSignals();
  return this->status;
}

std::int64_t ProcessRun::ElapsedMs(TimePoint since) const {
  return static_cast<std::int64_t>(ToMilliseconds(EventLoop::Now() - since));
}

void ProcessRun::OnStop(std::string_view signal) {
  this->steps.log("signal_received",
                  {{"signal", signal},
                   {"phase", PhaseName(this->phase)},
                   {"since_start_ms", this->ElapsedMs(this->began_at)}});
  if (this->stopped_at || this->phase == Phase::kEnded) {
    return;
  }
  this->stopped_at = EventLoop::Now();
  this->stop_signal = signal;
  if (this->phase != Phase::kRunning) {
    this->End(kExitSuccess, signal);
    return;
  }
  this->phase = Phase::kStopping;
  this->steps.shutdown([this] { this->End(kExitSuccess, this->stop_signal); });
}

// The settings are read at the start only. The file may have changed, but
// ports, limits and bounds hold until the next start.
void ProcessRun::OnReload() {
  this->steps.log("reloaded", {{"phase", PhaseName(this->phase)}});
}

void ProcessRun::Retry(Duration delay, void (ProcessRun::*step)()) {
  this->retry_timer = std::make_unique<Timer>(
      this->loop, delay, Duration(0), [this, step] { (this->*step)(); });
}

void ProcessRun::ReportDelay(std::string_view event,
                             const std::string& reason) {
  const TimePoint now = EventLoop::Now();
  if (reason == this->reported_delay &&
      now - this->delay_reported_at < kDelayReportPeriod) {
    return;
  }
  this->reported_delay = reason;
  this->delay_reported_at = now;
  this->steps.log(event, {{"detail", std::string_view(reason)},
                          {"since_start_ms", this->ElapsedMs(this->began_at)}});
}

std::vector<Failure> ProcessRun::LoadSettings() try {
  const Result<std::string> read = ReadSettingsFile(this->settings_file);
  std::string text = read ? read.value() : "";
  const TimePoint now = EventLoop::Now();
  if (text != this->last_text) {
    this->last_text = std::move(text);
    this->text_changed_at = now;
  }
  if (!read) {
    return {read.error()};
  }
  if (!HasWholeLastLine(this->last_text) &&
      now - this->text_changed_at < kUnfinishedLineWait) {
    return {MakeFailure(
        ResultCode::kSettingsUnreadable,
        "the last line of " + this->settings_file + " has no line end")};
  }
  return this->steps.parse(this->last_text);
} catch (const std::exception& error) {
  return {MakeFailure(ResultCode::kSettingsUnreadable, error.what())};
}

void ProcessRun::ReadSettings() {
  if (this->phase != Phase::kReadingSettings) {
    return;
  }
  const std::vector<Failure> mistakes = this->LoadSettings();
  if (mistakes.empty()) {
    this->phase = Phase::kStarting;
    this->StartDaemon();
    return;
  }
  const std::string reason = FormatFailure(mistakes.front());
  const Duration wait =
      this->last_text.empty() ? kMissingSettingsWait : kWrongSettingsWait;
  if (EventLoop::Now() - this->text_changed_at < wait) {
    this->ReportDelay("settings_incomplete", reason);
    this->Retry(kSettingsRetryPeriod, &ProcessRun::ReadSettings);
    return;
  }
  for (const Failure& mistake : mistakes) {
    std::cerr << FormatFailure(mistake) << "\n";
  }
  this->End(kExitUsage, reason);
}

Result<bool> ProcessRun::TryStart() try {
  return this->steps.start();
} catch (const std::exception& error) {
  return MakeFailure(ResultCode::kSettingsInvalid, error.what());
}

void ProcessRun::StartDaemon() {
  if (this->phase != Phase::kStarting) {
    return;
  }
  const Result<bool> started = this->TryStart();
  if (started) {
    this->phase = Phase::kRunning;
    return;
  }
  this->ReportDelay("start_delayed", FormatFailure(started.error()));
  this->Retry(kStartRetryPeriod, &ProcessRun::StartDaemon);
}

void ProcessRun::End(int exit_status, std::string_view reason) {
  this->phase = Phase::kEnded;
  this->status = exit_status;
  const std::int64_t since_stop =
      this->stopped_at ? this->ElapsedMs(*this->stopped_at) : 0;
  this->steps.log("exiting",
                  {{"status", static_cast<std::int64_t>(exit_status)},
                   {"reason", reason},
                   {"since_start_ms", this->ElapsedMs(this->began_at)},
                   {"since_signal_ms", since_stop}});
  this->loop.Stop();
}

}  // namespace

int RunProcess(EventLoop& loop,
               const std::string& settings_file,
               ProcessSteps steps) {
  return ProcessRun(loop, settings_file, std::move(steps)).Run();
}

}  // namespace toucanhollow
