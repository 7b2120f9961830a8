// Runs one process of the load balancer, in the role that --role names: an
// entry host, an endpoint agent, a relay or a rank agent.
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gflags/gflags.h>

#include "agent/endpoint_agent.h"
#include "apps/late_libraries.h"
#include "apps/run_process.h"
#include "entry/entry_host.h"
#include "event_loop/event_loop.h"
#include "json_log/json_log.h"
#include "log_text/log.h"
#include "map_task/rank_agent.h"
#include "platform/engine_calls.h"
#include "platform/platform_codec.h"
#include "process_limits/allocator.h"
#include "process_limits/descriptors.h"
#include "relay/relay_host.h"
#include "relay/relay_settings.h"
#include "session/process_context.h"
#include "settings/parse_settings.h"
#include "settings/settings_file.h"

DEFINE_string(role,
              "",
              "entry_host, endpoint, relay or rank_agent; must match the "
              "settings");
DEFINE_string(settings,
              "",
              "the INI settings file; by default the one that "
              "TOUCANHOLLOW_CONFIG names");
DEFINE_bool(check, false, "check the settings file and exit");

namespace toucanhollow {
namespace {

// As of the dynamic loader.
constexpr int kExitCannotLoad = 127;

// File descriptors of a process of the own interface beside the connections of
// its callers: links, the log, files.
constexpr std::size_t kOtherDescriptors = 1024;

// The settings file of a process that is given none by its arguments or its
// environment.
constexpr const char* kDefaultSettingsFile = "/etc/toucanhollow/boot.conf";

// Processes on one machine have their settings at different paths.
std::string FindSettingsFile() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* named = std::getenv("TOUCANHOLLOW_CONFIG");
  return named != nullptr && *named != '\0' ? named : kDefaultSettingsFile;
}

// Set by the deploy file, in MB. The template of the settings leaves it out, as
// it is also filled in by programs that do not know the platform's limit.
constexpr const char* kMemoryLimitVariable = "MEMORY_LIMIT_MB";

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

using ParseStep = std::function<std::vector<Failure>(const std::string& text)>;

// Replaces the daemon and starts it. A daemon that does not start is destroyed,
// which closes the ports that it could open.
template <typename Daemon>
Result<bool> StartDaemon(std::unique_ptr<Daemon>& daemon,
                         std::unique_ptr<Daemon> next) {
  daemon = std::move(next);
  Result<bool> started = daemon->Start();
  if (!started) {
    daemon.reset();
  }
  return started;
}

int CheckSettings(const ParseStep& parse) {
  const Result<std::string> text = ReadSettingsFile(FindSettingsFile());
  const std::vector<Failure> mistakes =
      text ? parse(text.value()) : std::vector<Failure>{text.error()};
  for (const Failure& mistake : mistakes) {
    std::cerr << FormatFailure(mistake) << "\n";
  }
  if (!mistakes.empty()) {
    return kExitUsage;
  }
  std::cout << "the settings are valid\n";
  return kExitSuccess;
}

// Stores the settings, or returns the mistake.
template <typename ParsedSettings>
std::vector<Failure> KeepSettings(Result<ParsedSettings> parsed,
                                  std::optional<ParsedSettings>& settings) {
  if (!parsed) {
    return {parsed.error()};
  }
  settings = std::move(parsed).value();
  return {};
}

// Adds the mistakes that do not keep a process from running.
template <typename PlatformSettings>
ParseStep WithAllMistakes(ParseStep parse,
                          const std::optional<PlatformSettings>& settings) {
  return [parse = std::move(parse), &settings](const std::string& text) {
    std::vector<Failure> mistakes = parse(text);
    return mistakes.empty() ? settings->mistakes : mistakes;
  };
}

void LogReplacedSettings(const std::vector<Failure>& mistakes) {
  for (const Failure& mistake : mistakes) {
    LogJsonNow("setting_replaced",
               {{"detail", std::string_view(mistake.detail)}});
  }
}

void StartPlatformLog(EventLoop& loop) {
  // Until the settings give the name of the process.
  StartJsonLog(FLAGS_role, LogRateLimit{});
  loop.SetUncaughtExceptionHandler([](std::string_view what) {
    LogJsonNow("unexpected_error", {{"what", what}});
  });
}

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

// Runs a relay: an entry host on the users' platform. It reads RelaySettings
// instead of Settings.
int RunRelay() {
  std::optional<RelaySettings> settings;
  const ParseStep parse = [&](const std::string& text) {
    return KeepSettings(
        ParseRelaySettings(text, Environment(kMemoryLimitVariable)), settings);
  };
  if (FLAGS_check) {
    return CheckSettings(WithAllMistakes(parse, settings));
  }
  EventLoop loop;
  StartPlatformLog(loop);
  std::unique_ptr<RelayHost> host;
  ProcessSteps steps;
  steps.parse = parse;
  steps.start = [&] {
    RaiseDescriptorLimit(settings->max_descriptors);
    StartJsonLog(settings->process.value, LogRateLimit{});
    LogReplacedSettings(std::exchange(settings->mistakes, {}));
    return StartDaemon(
        host, std::make_unique<RelayHost>(loop, *settings, PlatformCodec(),
                                          platform::EngineCodec()));
  };
  steps.shutdown = [&](std::function<void()> done) {
    host->Shutdown(std::move(done));
  };
  steps.log = LogJsonNow;
  return RunProcess(loop, FindSettingsFile(), std::move(steps));
}

// Runs the agent of one model engine (rank) on the users' platform.
int RunRankAgent() {
  std::optional<RankAgentSettings> settings;
  const ParseStep parse = [&](const std::string& text) {
    return KeepSettings(ParseRankAgentSettings(text), settings);
  };
  if (FLAGS_check) {
    return CheckSettings(WithAllMistakes(parse, settings));
  }
  EventLoop loop;
  StartPlatformLog(loop);
  std::unique_ptr<RankAgent> agent;
  ProcessSteps steps;
  steps.parse = parse;
  steps.start = [&] {
    StartJsonLog(settings->process, LogRateLimit{});
    LogReplacedSettings(std::exchange(settings->mistakes, {}));
    return StartDaemon(agent, std::make_unique<RankAgent>(
                                  loop, *settings, platform::EngineCodec()));
  };
  // An agent holds no work of its own that would have to be finished.
  steps.shutdown = [](const std::function<void()>& done) { done(); };
  steps.log = LogJsonNow;
  return RunProcess(loop, FindSettingsFile(), std::move(steps));
}

std::vector<Failure> ParseOwnSettings(const std::string& text,
                                      std::optional<Settings>& settings) {
  SettingsReport report = ParseSettings(text);
  if (!report.settings) {
    return report.mistakes;
  }
  const std::string role =
      report.settings->role == Role::kEntryHost ? "entry_host" : "endpoint";
  if (!FLAGS_role.empty() && FLAGS_role != role) {
    return {MakeFailure(ResultCode::kSettingsInvalid,
                        "--role is " + FLAGS_role +
                            " but the settings file is for role " + role +
                            "; start with --role=" + role)};
  }
  settings = std::move(report.settings);
  return {};
}

void LogFields(std::string_view event, std::initializer_list<LogField> fields) {
  std::ostringstream text;
  text << event;
  for (const LogField& field : fields) {
    text << ' ' << field.name << '=';
    std::visit([&text](const auto& value) { text << value; }, field.value);
  }
  Log(Severity::kInfo, "main", text.str());
}

// The process of the product's own interface; one of the daemons is set.
struct OwnProcess {
  std::unique_ptr<ProcessContext> context;
  std::unique_ptr<EntryHost> entry_host;
  std::unique_ptr<EndpointAgent> agent;
};

Result<bool> StartOwnProcess(OwnProcess& process,
                             EventLoop& loop,
                             const Settings& settings) {
  RaiseDescriptorLimit(settings.limits.connections + kOtherDescriptors);
  StartLog(settings.process.value, ToSeverity(settings.log_level));
  if (process.context == nullptr) {
    process.context = std::make_unique<ProcessContext>(loop, settings);
  }
  ProcessContext& context = *process.context;
  Result<bool> started =
      settings.role == Role::kEntryHost
          ? StartDaemon(process.entry_host,
                        std::make_unique<EntryHost>(context))
          : StartDaemon(process.agent,
                        std::make_unique<EndpointAgent>(context));
  if (started) {
    Event joined;
    joined.kind = EventKind::kJoined;
    context.Record(std::move(joined));
  }
  return started;
}

int RunOwnInterface() {
  std::optional<Settings> settings;
  const ParseStep parse = [&](const std::string& text) {
    return ParseOwnSettings(text, settings);
  };
  if (FLAGS_check) {
    return CheckSettings(parse);
  }
  StartLog("toucanhollow", Severity::kInfo);
  EventLoop loop;
  OwnProcess process;
  ProcessSteps steps;
  steps.parse = parse;
  steps.start = [&] { return StartOwnProcess(process, loop, *settings); };
  steps.shutdown = [&](std::function<void()> done) {
    if (process.entry_host != nullptr) {
      process.entry_host->Shutdown(std::move(done));
    } else {
      process.agent->Shutdown(std::move(done));
    }
  };
  steps.log = LogFields;
  return RunProcess(loop, FindSettingsFile(), std::move(steps));
}

int Main() {
  if (FLAGS_role == "rank_agent") {
    return RunRankAgent();
  }
  if (FLAGS_role == "relay") {
    return RunRelay();
  }
  return RunOwnInterface();
}

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  toucanhollow::OpenStandardDescriptors();
  const std::string missing = toucanhollow::LoadLateLibraries();
  if (!missing.empty()) {
    std::cerr << "the program cannot be loaded: " << missing << "\n";
    return toucanhollow::kExitCannotLoad;
  }
  toucanhollow::ReturnLargeBlocks();
  gflags::SetUsageMessage(
      "toucanhollow --role=entry_host|endpoint|relay|rank_agent "
      "--settings=FILE "
      "[--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return toucanhollow::Main();
  } catch (const std::exception& error) {
    std::cerr << "the process ends because of an unexpected error: "
              << error.what() << "\n";
    return toucanhollow::kExitFailure;
  }
}
