#include "ctl/command.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <sstream>

#include "base/result_code_page.h"
#include "ctl/fetch.h"
#include "ctl/log_session.h"
#include "ctl/publish.h"
#include "ctl/read_timeline.h"
#include "ctl/record_file.h"
#include "ctl/show_config.h"
#include "settings/parse_address.h"
#include "settings/parse_settings.h"
#include "timeline/draw_timeline.h"

namespace toucanhollow {
namespace {

constexpr Duration kFollowPause = Milliseconds(500);

struct CommandCall {
  std::string argument;  // empty if the command takes none
  const CommandOptions& options;
  std::ostream& out;
  std::ostream& errors;
};

int PrintMistakes(const std::vector<Failure>& mistakes, std::ostream& errors) {
  for (const Failure& mistake : mistakes) {
    errors << FormatFailure(mistake) << "\n";
  }
  return mistakes.empty() ? kExitSuccess : kExitNegative;
}

int UsageMistake(const CommandCall& call, const Failure& failure) {
  call.errors << FormatFailure(failure) << "\n";
  return kExitUsage;
}

int ReportPublication(const CommandCall& call, const PublishOutcome& outcome) {
  if (outcome.accepted) {
    call.out << "accepted revision=" << outcome.revision << "\n";
    return kExitSuccess;
  }
  call.errors << FormatFailure({outcome.code, outcome.detail}) << "\n";
  return kExitNegative;
}

int Publish(const CommandCall& call,
            LogSession& session,
            const RecordReport& report) {
  if (!report.mistakes.empty()) {
    return PrintMistakes(report.mistakes, call.errors);
  }
  return ReportPublication(call, PublishRecord(session, report.record,
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
      PrintMistakes(LoadSettings(call.argument).mistakes, call.errors);
  if (exit_code == kExitSuccess) {
    call.out << call.argument << " is valid\n";
  }
  return exit_code;
}

int RunCheckRecord(const CommandCall& call) {
  const Result<RecordReport> report = ReadRecordFile(call.argument);
  if (!report) {
    return UsageMistake(call, report.error());
  }
  const int exit_code = PrintMistakes(report.value().mistakes, call.errors);
  if (exit_code == kExitSuccess) {
    call.out << call.argument << " is valid\n";
  }
  return exit_code;
}

int RunPublish(const CommandCall& call) {
  const Result<Address> log = ParseAddress(call.options.log);
  if (!log) {
    return UsageMistake(call, log.error());
  }
  const Result<RecordReport> report = ReadRecordFile(call.argument);
  if (!report) {
    return UsageMistake(call, report.error());
  }
  LogSession session(log.value());
  return Publish(call, session, report.value());
}

int SetState(const CommandCall& call, bool in_service) {
  const Result<Address> log = ParseAddress(call.options.log);
  if (!log) {
    return UsageMistake(call, log.error());
  }
  const std::size_t slash = call.argument.find('/');
  const ConfigSubject subject{
      call.argument.substr(0, slash),
      slash == std::string::npos ? "" : call.argument.substr(slash + 1)};
  if (subject.kind != kDataCentreKind && subject.kind != kEndpointKind) {
    return UsageMistake(
        call, MakeFailure(ResultCode::kRecordFieldInvalid,
                          "\"" + call.argument +
                              "\"; write data_centre/NAME or endpoint/NAME"));
  }
  LogSession session(log.value());
  std::vector<ConfigReport> reports;
  const Result<ConfigState> state = session.ReadConfig(ConfigState(), reports);
  if (!state) {
    return PrintMistakes({state.error()}, call.errors);
  }
  const auto found = state.value().subjects.find(subject);
  if (found == state.value().subjects.end() || !found->second.copies.latest) {
    return PrintMistakes(
        {MakeFailure(ResultCode::kRecordFieldMissing,
                     call.argument + " has no record; publish one first")},
        call.errors);
  }
  CommandOptions options = call.options;
  // The change rests on the record that was just read.
  if (!options.expected_revision) {
    options.expected_revision = found->second.copies.latest->offset;
  }
  const CommandCall change{call.argument, options, call.out, call.errors};
  return Publish(
      change, session,
      ChangeState(subject, *found->second.copies.latest, in_service));
}

int RunTakeOut(const CommandCall& call) {
  return SetState(call, /*in_service=*/false);
}

int RunBringBack(const CommandCall& call) {
  return SetState(call, /*in_service=*/true);
}

int RunShow(const CommandCall& call) {
  const Result<Address> log = ParseAddress(call.options.log);
  if (!log) {
    return UsageMistake(call, log.error());
  }
  LogSession session(log.value());
  std::vector<ConfigReport> reports;
  const Result<ConfigState> state = session.ReadConfig(ConfigState(), reports);
  if (!state) {
    return PrintMistakes({state.error()}, call.errors);
  }
  call.out << "log read up to offset " << state.value().next_offset - 1 << "\n"
           << ShowConfig(state.value(), call.options.subject);
  for (const ConfigReport& report : reports) {
    call.errors << "offset " << report.offset << " " << report.subject.kind
                << "/" << report.subject.name << " "
                << FormatFailure(report.failure) << "\n";
  }
  return kExitSuccess;
}

// The value of a metric without labels, or empty.
std::string MetricValue(const std::string& metrics, const std::string& name) {
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
    return UsageMistake(call, processes.error());
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
    call.out << (ready[i].status == 200 ? " ready" : " not_ready");
    for (const char* name : {"config_offset", "requests_open", "takes_work",
                             "in_flight", "limit"}) {
      const std::string value = MetricValue(metrics[i].body, name);
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
    return UsageMistake(call, processes.error());
  }
  const EventFilter filter{{call.options.request},
                           {call.options.endpoint},
                           call.options.subject,
                           {call.options.process}};
  TimelineRead read = ReadTimelines(processes.value(), {});
  const auto warn = [&] {
    for (const std::string& warning : read.warnings) {
      call.errors << warning << "\n";
    }
  };
  warn();
  const std::vector<Event> selected = FilterEvents(read.events, filter);
  if (!call.options.follow) {
    call.out << DrawTimeline(selected);
    return selected.empty() ? kExitNegative : kExitSuccess;
  }
  EventLoop loop;
  while (call.out) {
    for (const Event& event : FilterEvents(read.events, filter)) {
      call.out << FormatEventLine(event) << "\n";
    }
    call.out.flush();
    const Timer timer(loop, kFollowPause, Duration(0), [&] { loop.Stop(); });
    loop.Run();
    read = ReadTimelines(processes.value(), read.cursor);
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
    {"publish", "FILE", "publish a record (--log, --expect)", RunPublish},
    {"take-out", "KIND/NAME",
     "take a data_centre or an endpoint out of service (--log)", RunTakeOut},
    {"bring-back", "KIND/NAME", "bring it back into service (--log)",
     RunBringBack},
    {"show", "", "show the configuration in the log (--log, --subject)",
     RunShow},
    {"status", "",
     "show whether processes are ready and which configuration is in force "
     "there (--processes)",
     RunStatus},
    {"timeline", "",
     "merge and draw the events of processes (--processes, --request, "
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
