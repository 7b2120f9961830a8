// One process of the system: an entry host or an endpoint agent.
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
  for (const Failure& mistake : report.mistakes) {
    std::cerr << FormatFailure(mistake) << "\n";
  }
  if (report.settings) {
    const std::string role =
        report.settings->role == Role::kEntryHost ? "entry_host" : "endpoint";
    if (!FLAGS_role.empty() && FLAGS_role != role) {
      std::cerr << "--role is " << FLAGS_role << " but the settings are of the "
                << "role " << role << "; start it with --role=" << role << "\n";
      return std::nullopt;
    }
  }
  return std::move(report.settings);
}

template <typename Part>
int RunUntilDrained(EventLoop& loop, ProcessContext& context) {
  Part part(context);
  const Result<bool> started = part.Start();
  if (!started) {
    Log(Severity::kError, "main", FormatFailure(started.error()));
    return kExitFailure;
  }
  Event joined;
  joined.kind = EventKind::kJoined;
  context.Record(std::move(joined));
  const auto shut_down = [&] { part.Shutdown([&] { loop.Stop(); }); };
  const SignalWatcher terminate(loop, SIGTERM, shut_down);
  const SignalWatcher interrupt(loop, SIGINT, shut_down);
  loop.Run();
  Log(Severity::kInfo, "main", "left with nothing in flight");
  return 0;
}

void LogUncaught(EventLoop& loop) {
  loop.OnUncaught([](std::string_view what) {
    LogJsonNow("unexpected_error", {{"what", what}});
  });
}

// An entry host on the users' platform, which has settings of its own.
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
  StartJsonLog(settings.value().process.value, LogRateLimit{});
  EventLoop loop;
  LogUncaught(loop);
  RelayHost host(loop, settings.value(), PlatformCodec(),
                 platform::EngineCodec());
  const Result<bool> started = host.Start();
  if (!started) {
    std::cerr << FormatFailure(started.error()) << "\n";
    return kExitFailure;
  }
  const SignalWatcher terminate(
      loop, SIGTERM, [&] { host.Shutdown([&loop] { loop.Stop(); }); });
  // The platform fills in the settings at each start; none changes while the
  // process runs.
  const SignalWatcher reload(loop, SIGHUP, [] { LogJsonNow("reloaded", {}); });
  loop.Run();
  return 0;
}

// The process beside a model engine on the users' platform.
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
  LogUncaught(loop);
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
  gflags::SetUsageMessage(
      "toucanhollow --role=entry_host|endpoint|relay|rank_agent "
      "--settings=FILE "
      "[--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return toucanhollow::Main();
}
