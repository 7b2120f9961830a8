#include "ctl/command.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <sstream>

#include "base/result_code_page.h"
#include "ctl/fetch.h"
#include "ctl/format_config.h"
#include "ctl/log_session.h"
#include "ctl/publish.h"
#include "ctl/read_timeline.h"
#include "ctl/record_file.h"
#include "settings/parse_address.h"
#include "settings/parse_settings.h"
#include "timeline/draw_timeline.h"

namespace toucanhollow {
namespace {

constexpr Duration kFollowPollInterval = Milliseconds(500);

struct CommandCall {
  std::string argument;  // empty if the command takes none
  const CommandOptions& options;
  std::ostream& out;
  std::ostream& errors;
};

int PrintFailures(const std::vector<Failure>& failures, std::ostream& errors) {
  for (const Failure& failure : failures) {
    errors << FormatFailure(failure) << "\n";
  }
  return failures.empty() ? kExitSuccess : kExitNegative;
}

int PrintUsageError(const CommandCall& call, const Failure& failure) {
  call.errors << FormatFailure(failure) << "\n";
  return kExitUsage;
}

int PrintPublishOutcome(const CommandCall& call,
                        const PublishOutcome& outcome) {
  if (outcome.accepted) {
    call.out << "accepted revision=" << outcome.revision << "\n";
    return kExitSuccess;
  }
  call.errors << FormatFailure({outcome.code, outcome.detail}) << "\n";
  return kExitNegative;
}

int PublishIfValid(const CommandCall& call,
                   LogSession& session,
                   const RecordReport& report) {
  if (!report.failures.empty()) {
    return PrintFailures(report.failures, call.errors);
  }
  return PrintPublishOutcome(call, PublishRecord(session, report.record,
                                                 call.options.expected_revision,
                                                 call.options.change_id));
}

Result<RecordReport> ReadRecordFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeFailure(ResultCode::kRecordMalformed,
                       path + " cannot be opened; check the path");
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseRecordFile(text.str());
}

int RunCodes(const CommandCall& call) {
  call.out << ResultCodeTableMarkdown();
  return kExitSuccess;
}

int RunSettings(const CommandCall& call) {
  call.out << SettingsTable();
  return kExitSuccess;
}

int RunCheckSettings(const CommandCall& call) {
  const int exit_code =
      PrintFailures(LoadSettings(call.argument).mistakes, call.errors);
  if (exit_code == kExitSuccess) {
    call.out << call.argument << " is valid\n";
  }
  return exit_code;
}

int RunCheckRecord(const CommandCall& call) {
  const Result<RecordReport> report = ReadRecordFile(call.argument);
  if (!report) {
    return PrintUsageError(call, report.error());
  }
  const int exit_code = PrintFailures(report.value().failures, call.errors);
  if (exit_code == kExitSuccess) {
    call.out << call.argument << " is valid\n";
  }
  return exit_code;
}

int RunPublish(const CommandCall& call) {
  const Result<Address> log = ParseAddress(call.options.log);
  if (!log) {
    return PrintUsageError(call, log.error());
  }
  const Result<RecordReport> report = ReadRecordFile(call.argument);
  if (!report) {
    return PrintUsageError(call, report.error());
  }
  LogSession session(log.value());
  return PublishIfValid(call, session, report.value());
}

int PublishServiceState(const CommandCall& call, bool in_service) {
  const Result<Address> log = ParseAddress(call.options.log);
  if (!log) {
    return PrintUsageError(call, log.error());
  }
  const std::size_t slash = call.argument.find('/');
  const ConfigSubject subject{
      call.argument.substr(0, slash),
      slash == std::string::npos ? "" : call.argument.substr(slash + 1)};
  if (subject.kind != kDataCentreKind && subject.kind != kEndpointKind) {
    return PrintUsageError(
        call, MakeFailure(ResultCode::kRecordFieldInvalid,
                          "\"" + call.argument +
                              "\" is not a data centre or an endpoint; write "
                              "data_centre/NAME or endpoint/NAME"));
  }
  LogSession session(log.value());
  std::vector<ConfigReport> reports;
  const Result<ConfigState> state = session.ReadConfig(ConfigState(), reports);
  if (!state) {
    return PrintFailures({state.error()}, call.errors);
  }
  const auto found = state.value().subjects.find(subject);
  if (found == state.value().subjects.end() || !found->second.copies.latest) {
    return PrintFailures(
        {MakeFailure(
            ResultCode::kRecordFieldMissing,
            call.argument + " has no record; publish a record for it first")},
        call.errors);
  }
  CommandOptions options = call.options;
  // Without --expect, the change expects the revision that was just read.
  if (!options.expected_revision) {
    options.expected_revision = found->second.copies.latest->offset;
  }
  const CommandCall change{call.argument, options, call.out, call.errors};
  return PublishIfValid(change, session,
                        MakeServiceStateRecord(
                            subject, *found->second.copies.latest, in_service));
}

int RunTakeOut(const CommandCall& call) {
  return PublishServiceState(call, /*in_service=*/false);
}

int RunBringBack(const CommandCall& call) {
  return PublishServiceState(call, /*in_service=*/true);
}

int RunShow(const CommandCall& call) {
  const Result<Address> log = ParseAddress(call.options.log);
  if (!log) {
    return PrintUsageError(call, log.error());
  }
  LogSession session(log.value());
  std::vector<ConfigReport> reports;
  const Result<ConfigState> state = session.ReadConfig(ConfigState(), reports);
  if (!state) {
    return PrintFailures({state.error()}, call.errors);
  }
  call.out << "log read up to offset " << state.value().next_offset - 1 << "\n"
           << FormatConfig(state.value(), call.options.subject);
  for (const ConfigReport& report : reports) {
    call.errors << "offset " << report.offset << " " << report.subject.kind
                << "/" << report.subject.name << " "
                << FormatFailure(report.failure) << "\n";
  }
  return kExitSuccess;
}

// Returns the value of a metric without labels, or an empty string if `metrics`
// does not contain it.
std::string FindMetricValue(const std::string& metrics,
                            const std::string& name) {
  const std::string line_start = "toucanhollow_" + name + " ";
  std::istringstream lines(metrics);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(line_start)) {
      return line.substr(line_start.size());
    }
  }
  return "";
}

int RunStatus(const CommandCall& call) {
  const Result<std::vector<Address>> processes =
      ParseAddressList(call.options.processes);
  if (!processes) {
    return PrintUsageError(call, processes.error());
  }
  const auto metrics = FetchPath(processes.value(), "/metrics");
  const auto ready = FetchPath(processes.value(), "/ready");
  int exit_code = kExitSuccess;
  for (std::size_t i = 0; i < processes.value().size(); ++i) {
    call.out << FormatAddress(processes.value()[i]);
    if (metrics[i].end != HttpEnd::kComplete) {
      call.out << " silent: " << metrics[i].error << "\n";
      exit_code = kExitNegative;
      continue;
    }
    const bool is_ready = ready[i].status == 200;
    call.out << (is_ready ? " ready" : " not_ready");
    if (!is_ready) {
      exit_code = kExitNegative;
    }
    for (const char* name : {"config_offset", "requests_open", "takes_work",
                             "in_flight", "limit"}) {
      const std::string value = FindMetricValue(metrics[i].body, name);
      if (!value.empty()) {
        call.out << " " << name << "=" << value;
      }
    }
    call.out << "\n";
  }
  return exit_code;
}

int RunTimeline(const CommandCall& call) {
  const Result<std::vector<Address>> processes =
      ParseAddressList(call.options.processes);
  if (!processes) {
    return PrintUsageError(call, processes.error());
  }
  const EventFilter filter{{call.options.request},
                           {call.options.endpoint},
                           call.options.subject,
                           {call.options.process}};
  TimelineReadResult result = ReadTimelines(processes.value(), {});
  const auto warn = [&] {
    for (const std::string& warning : result.warnings) {
      call.errors << warning << "\n";
    }
  };
  warn();
  const std::vector<Event> selected = FilterEvents(result.events, filter);
  if (!call.options.follow) {
    call.out << DrawTimeline(selected);
    return selected.empty() ? kExitNegative : kExitSuccess;
  }
  EventLoop loop;
  while (call.out) {
    for (const Event& event : FilterEvents(result.events, filter)) {
      call.out << FormatEventLine(event) << "\n";
    }
    call.out.flush();
    const Timer timer(loop, kFollowPollInterval, Duration(0),
                      [&] { loop.Stop(); });
    loop.Run();
    result = ReadTimelines(processes.value(), result.cursor);
    warn();
  }
  return kExitSuccess;
}

struct Command {
  const char* name;
  const char* argument;  // empty if the command takes none
  const char* meaning;
  int (*run)(const CommandCall&);
};

constexpr auto kCommands = std::to_array<Command>({
    {"check-record", "FILE", "check a record file", RunCheckRecord},
    {"publish", "FILE", "publish the record in a file (--log, --expect)",
     RunPublish},
    {"take-out", "KIND/NAME",
     "take a data_centre or an endpoint out of service (--log)", RunTakeOut},
    {"bring-back", "KIND/NAME",
     "bring a data_centre or an endpoint back into service (--log)",
     RunBringBack},
    {"show", "", "show the configuration in the log (--log, --subject)",
     RunShow},
    {"status", "",
     "show whether processes are ready and which configuration they use "
     "(--processes)",
     RunStatus},
    {"timeline", "",
     "merge the events of processes and draw a timeline (--processes, "
     "--request, "
     "--endpoint, --subject, --process, --follow)",
     RunTimeline},
    {"check-settings", "FILE", "check a settings file", RunCheckSettings},
    {"codes", "", "print the table of result codes", RunCodes},
    {"settings", "", "print the table of settings", RunSettings},
});

}  // namespace

std::string CommandUsage() {
  std::string usage = "toucanhollowctl COMMAND [ARGUMENT] [--flags]\n";
  for (const Command& command : kCommands) {
    usage += "  " + std::string(command.name) + " " + command.argument +
             "\n      " + command.meaning + "\n";
  }
  return usage;
}

int RunCommand(const std::vector<std::string>& arguments,
               const CommandOptions& options,
               std::ostream& out,
               std::ostream& errors) {
  const std::string name = arguments.empty() ? "" : arguments[0];
  const auto* command = std::ranges::find(kCommands, name, &Command::name);
  const bool known = command != kCommands.end();
  const std::size_t expected =
      known && std::string(command->argument).empty() ? 1 : 2;
  if (!known || arguments.size() != expected) {
    errors << CommandUsage();
    return kExitUsage;
  }
  return command->run(
      {expected == 2 ? arguments[1] : "", options, out, errors});
}

}  // namespace toucanhollow
