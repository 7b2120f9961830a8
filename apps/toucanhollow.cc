// Runs one process of the load balancer, in the role that --role names: an
// entry host, an endpoint agent, a relay or a rank agent.
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include <gflags/gflags.h>

#include "agent/endpoint_agent.h"
#include "entry/entry_host.h"
#include "event_loop/event_loop.h"
#include "json_log/json_log.h"
#include "log_text/log.h"
#include "map_task/rank_agent.h"
#include "platform/engine_calls.h"
#include "platform/platform_codec.h"
#include "process_limits/descriptors.h"
#include "relay/relay_host.h"
#include "relay/relay_settings.h"
#include "session/process_context.h"
#include "settings/parse_settings.h"

DEFINE_string(role,
              "",
              "entry_host, endpoint, relay or rank_agent; must match the "
              "settings");
DEFINE_string(settings, "", "the INI settings file");
DEFINE_bool(check, false, "check the settings file and exit");

namespace toucanhollow {
namespace {

// File descriptors of a process of the own interface beside the connections of
// its callers: links, the log, files.
constexpr std::size_t kOtherDescriptors = 1024;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

Severity ToSeverity(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return Severity::kDebug;
    case LogLevel::kInfo:
      return Severity::kInfo;
    case LogLevel::kWarning:
      return Severity::kWarning;
    case LogLevel::kError:
      break;
  }
  return Severity::kError;
}

std::optional<Settings> ReadSettings() {
  SettingsReport report = LoadSettings(FLAGS_settings);
  for (const Failure& failure : report.mistakes) {
    std::cerr << FormatFailure(failure) << "\n";
  }
  if (report.settings) {
    const std::string role =
        report.settings->role == Role::kEntryHost ? "entry_host" : "endpoint";
    if (!FLAGS_role.empty() && FLAGS_role != role) {
      std::cerr << "--role is " << FLAGS_role
                << " but the settings file is for "
                << "role " << role << "; start with --role=" << role << "\n";
      return std::nullopt;
    }
  }
  return std::move(report.settings);
}

template <typename Daemon>
int RunUntilDrained(EventLoop& loop, ProcessContext& context) {
  Daemon daemon(context);
  const Result<bool> started = daemon.Start();
  if (!started) {
    Log(Severity::kError, "main", FormatFailure(started.error()));
    return kExitFailure;
  }
  Event joined;
  joined.kind = EventKind::kJoined;
  context.Record(std::move(joined));
  const auto shut_down = [&] { daemon.Shutdown([&] { loop.Stop(); }); };
  const SignalWatcher terminate(loop, SIGTERM, shut_down);
  const SignalWatcher interrupt(loop, SIGINT, shut_down);
  loop.Run();
  Log(Severity::kInfo, "main", "shutdown is complete; no request is in flight");
  return 0;
}

void LogUncaughtExceptions(EventLoop& loop) {
  loop.SetUncaughtExceptionHandler([](std::string_view what) {
    LogJsonNow("unexpected_error", {{"what", what}});
  });
}

// Runs a relay: an entry host on the users' platform. It reads RelaySettings
// instead of Settings.
int RunRelay() {
  const Result<RelaySettings> settings = LoadRelaySettings(FLAGS_settings);
  if (!settings) {
    std::cerr << FormatFailure(settings.error()) << "\n";
    return kExitUsage;
  }
  if (FLAGS_check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit(settings.value().max_descriptors);
  StartJsonLog(settings.value().process.value, LogRateLimit{});
  EventLoop loop;
  LogUncaughtExceptions(loop);
  RelayHost host(loop, settings.value(), PlatformCodec(),
                 platform::EngineCodec());
  const Result<bool> started = host.Start();
  if (!started) {
    std::cerr << FormatFailure(started.error()) << "\n";
    return kExitFailure;
  }
  const SignalWatcher terminate(
      loop, SIGTERM, [&] { host.Shutdown([&loop] { loop.Stop(); }); });
  // The platform writes the settings before each start, and none can change
  // while the process runs, so SIGHUP has nothing to reload and is only logged.
  const SignalWatcher reload(loop, SIGHUP, [] { LogJsonNow("reloaded", {}); });
  loop.Run();
  return 0;
}

// Runs the agent of one model engine (rank) on the users' platform.
int RunRankAgent() {
  std::ifstream file(FLAGS_settings);
  std::ostringstream text;
  text << file.rdbuf();
  const Result<RankAgentSettings> settings = ParseRankAgentSettings(text.str());
  if (!settings) {
    std::cerr << FormatFailure(settings.error()) << "\n";
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  StartJsonLog(settings.value().process, LogRateLimit{});
  EventLoop loop;
  LogUncaughtExceptions(loop);
  RankAgent agent(loop, settings.value(), platform::EngineCodec());
  const Result<bool> started = agent.Start();
  if (!started) {
    std::cerr << FormatFailure(started.error()) << "\n";
    return kExitFailure;
  }
  const SignalWatcher terminate(loop, SIGTERM, [&loop] { loop.Stop(); });
  const SignalWatcher reload(loop, SIGHUP, [] { LogJsonNow("reloaded", {}); });
  loop.Run();
  return 0;
}

int Main() {
  if (FLAGS_role == "rank_agent") {
    return RunRankAgent();
  }
  if (FLAGS_role == "relay") {
    return RunRelay();
  }
  const std::optional<Settings> settings = ReadSettings();
  if (!settings) {
    return kExitUsage;
  }
  if (FLAGS_check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit(settings->limits.connections + kOtherDescriptors);
  StartLog(settings->process.value, ToSeverity(settings->log_level));
  EventLoop loop;
  ProcessContext context(loop, *settings);
  return settings->role == Role::kEntryHost
             ? RunUntilDrained<EntryHost>(loop, context)
             : RunUntilDrained<EndpointAgent>(loop, context);
}

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  toucanhollow::OpenStandardDescriptors();
  gflags::SetUsageMessage(
      "toucanhollow --role=entry_host|endpoint|relay|rank_agent "
      "--settings=FILE "
      "[--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return toucanhollow::Main();
}
