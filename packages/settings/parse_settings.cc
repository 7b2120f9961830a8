#include "settings/parse_settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <utility>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

// Stores the value and returns an empty string, or returns the remedy if the
// value is invalid.
using Setter = std::function<std::string(Settings&, const std::string&)>;

enum class Requirement { kRequired, kRequiredForEndpoint, kOptional };

struct Field {
  std::string section;
  std::string key;
  Requirement requirement;
  std::string default_text;  // for the table only; Settings sets the default
  std::string meaning;
  Setter set;
};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::string part;
  for (const char character : text + ",") {
    if (character == ',') {
      if (!part.empty()) {
        parts.push_back(std::exchange(part, ""));
      }
    } else if (character != ' ' && character != '\t') {
      part += character;
    }
  }
  return parts;
}

bool ParseInteger(const std::string& text, std::int64_t& value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end;
}

std::string RangeRemedy(std::int64_t low, std::int64_t high) {
  return "use a whole number from " + std::to_string(low) + " to " +
         std::to_string(high);
}

// Make a setter for each kind of value. `Access` returns a reference to the
// member of Settings to be set.
template <typename Access>
Setter SetName(Access access) {
  return [access](Settings& settings, const std::string& text) -> std::string {
    const bool valid = !text.empty() && text.size() <= 64 &&
                       std::ranges::all_of(text, [](unsigned char character) {
                         return std::isalnum(character) != 0 ||
                                character == '-' || character == '_' ||
                                character == '.';
                       });
    if (!valid) {
      return "use 1 to 64 letters, digits, '-', '_' or '.'";
    }
    access(settings) = text;
    return "";
  };
}

template <typename Access>
Setter SetCount(std::int64_t low, std::int64_t high, Access access) {
  return [=](Settings& settings, const std::string& text) -> std::string {
    std::int64_t value = 0;
    if (!ParseInteger(text, value) || value < low || value > high) {
      return RangeRemedy(low, high);
    }
    access(settings) = static_cast<std::size_t>(value);
    return "";
  };
}

template <typename Access>
Setter SetDuration(Duration unit,
                   std::int64_t low,
                   std::int64_t high,
                   Access access) {
  return [=](Settings& settings, const std::string& text) -> std::string {
    std::int64_t value = 0;
    if (!ParseInteger(text, value) || value < low || value > high) {
      return RangeRemedy(low, high);
    }
    access(settings) = unit * value;
    return "";
  };
}

template <typename Access>
Setter SetAddress(Access access) {
  return [access](Settings& settings, const std::string& text) -> std::string {
    const Result<Address> address = ParseAddress(text);
    if (!address) {
      return address.error().detail;
    }
    access(settings) = address.value();
    return "";
  };
}

template <typename Enum, typename Access>
Setter SetChoice(std::vector<std::pair<std::string, Enum>> choices,
                 Access access) {
  return [=](Settings& settings, const std::string& text) -> std::string {
    std::string remedy = "use one of:";
    for (const auto& [name, value] : choices) {
      if (name == text) {
        access(settings) = value;
        return "";
      }
      remedy += " " + name;
    }
    return remedy;
  };
}

std::string SetPeers(Settings& settings, const std::string& text) {
  for (const std::string& part : SplitList(text)) {
    const Result<Address> address = ParseAddress(part);
    if (!address) {
      return address.error().detail;
    }
    settings.peers.push_back(address.value());
  }
  return "";
}

constexpr std::int64_t kMaxRank = 4095;

std::string SetRanks(Settings& settings, const std::string& text) {
  for (const std::string& part : SplitList(text)) {
    std::int64_t rank = 0;
    if (!ParseInteger(part, rank) || rank < 0 || rank > kMaxRank) {
      return "use rank numbers from 0 to 4095, separated by commas";
    }
    settings.back_end->ranks.push_back(static_cast<int>(rank));
  }
  return "";
}

std::vector<Field> MakeFields() {
  const Duration millisecond = Milliseconds(1);
  const Duration second = Seconds(1);
  // Setters of the section [back_end] may dereference Settings::back_end:
  // ParseSettings assigns it before it applies the fields.
  return {
      {"process", "name", Requirement::kRequired, "",
       "Name of this process, unique in the deployment.",
       SetName([](Settings & s) -> auto& { return s.process.value; })},
      {"process", "role", Requirement::kRequired, "",
       "`entry_host` or `endpoint`.",
       SetChoice<Role>(
           {{"entry_host", Role::kEntryHost}, {"endpoint", Role::kEndpoint}},
           [](Settings & s) -> auto& { return s.role; })},
      {"process", "data_centre", Requirement::kRequired, "",
       "Data centre of this process.",
       SetName([](Settings & s) -> auto& { return s.data_centre.value; })},
      {"process", "region", Requirement::kOptional, "",
       "Region of the data centre.",
       SetName([](Settings & s) -> auto& { return s.region; })},
      {"listen", "http", Requirement::kRequired, "",
       "Address for callers, operators and scrapers.",
       SetAddress([](Settings & s) -> auto& { return s.http; })},
      {"listen", "link", Requirement::kRequired, "",
       "Address for own processes.",
       SetAddress([](Settings & s) -> auto& { return s.link; })},
      {"platform", "log", Requirement::kRequired, "",
       "Address of the platform's log.",
       SetAddress([](Settings & s) -> auto& { return s.platform_log; })},
      {"platform", "host_list", Requirement::kOptional, "",
       "Address of the platform's list of hosts.",
       SetAddress([](Settings & s) -> auto& { return s.host_list; })},
      {"platform", "weight_store", Requirement::kOptional, "",
       "Address of the weight store.",
       SetAddress([](Settings & s) -> auto& { return s.weight_store; })},
      {"platform", "key_memory_s", Requirement::kOptional, "86400",
       "Seconds for which an idempotency key is honoured.",
       SetDuration(
           second, 1, 7 * 86400,
           [](Settings & s) -> auto& { return s.key_memory; })},
      {"peers", "links", Requirement::kOptional, "",
       "Link addresses of peers to learn the configuration from, separated by "
       "commas.",
       SetPeers},
      {"peers", "shared_key", Requirement::kOptional, "",
       "Key that every own process presents on links.",
       SetName([](Settings & s) -> auto& { return s.shared_key; })},
      {"back_end", "endpoint", Requirement::kRequiredForEndpoint, "",
       "Name of the endpoint in the records.", SetName([
       ](Settings & s) -> auto& { return s.back_end->endpoint.value; })},
      {"back_end", "kind", Requirement::kRequiredForEndpoint, "",
       "`engine` or `service`.",
       SetChoice<BackEndKind>(
           {{"engine", BackEndKind::kEngine},
            {"service", BackEndKind::kService}},
           [](Settings & s) -> auto& { return s.back_end->kind; })},
      {"back_end", "service", Requirement::kRequiredForEndpoint, "",
       "Name of the model group or plain service.", SetName([
       ](Settings & s) -> auto& { return s.back_end->service.value; })},
      {"back_end", "address", Requirement::kRequiredForEndpoint, "",
       "Address of the engine or service.",
       SetAddress([](Settings & s) -> auto& { return s.back_end->address; })},
      {"back_end", "ranks", Requirement::kOptional, "",
       "Ranks that the engine holds, separated by commas.", SetRanks},
      {"limits", "header_bytes", Requirement::kOptional, "16384",
       "Largest header of a caller's request.",
       SetCount(
           1024, 1 << 20,
           [](Settings & s) -> auto& { return s.limits.header_bytes; })},
      {"limits", "body_bytes", Requirement::kOptional, "1048576",
       "Largest body of a caller's request.",
       SetCount(
           1024, 1 << 26,
           [](Settings & s) -> auto& { return s.limits.body_bytes; })},
      {"limits", "connections", Requirement::kOptional, "4096",
       "Most connections of callers.",
       SetCount(
           1, 65536,
           [](Settings & s) -> auto& { return s.limits.connections; })},
      {"limits", "caller_timeout_ms", Requirement::kOptional, "10000",
       "Time for a caller to send a whole request.",
       SetDuration(
           millisecond, 100, 600000,
           [](Settings & s) -> auto& { return s.limits.caller_timeout; })},
      {"limits", "idle_timeout_ms", Requirement::kOptional, "60000",
       "Time after which an idle connection closes.",
       SetDuration(
           millisecond, 100, 3600000,
           [](Settings & s) -> auto& { return s.limits.idle_timeout; })},
      {"limits", "default_deadline_ms", Requirement::kOptional, "60000",
       "Deadline of a request that states none.",
       SetDuration(
           millisecond, 1, 3600000,
           [](Settings & s) -> auto& { return s.limits.default_deadline; })},
      {"limits", "account_queue", Requirement::kOptional, "256",
       "Requests that may wait for each client account.",
       SetCount(
           1, 65536,
           [](Settings & s) -> auto& { return s.limits.account_queue; })},
      {"shutdown", "balancer_lag_ms", Requirement::kOptional, "2000",
       "Time from SIGTERM to closing the listening socket.",
       SetDuration(
           millisecond, 0, 60000,
           [](Settings & s) -> auto& { return s.balancer_lag; })},
      {"shutdown", "drain_timeout_ms", Requirement::kOptional, "300000",
       "Longest wait for requests in flight.",
       SetDuration(
           millisecond, 0, 3600000,
           [](Settings & s) -> auto& { return s.drain_timeout; })},
      {"log", "level", Requirement::kOptional, "info",
       "`debug`, `info`, `warning` or `error`.",
       SetChoice<LogLevel>(
           {{"debug", LogLevel::kDebug},
            {"info", LogLevel::kInfo},
            {"warning", LogLevel::kWarning},
            {"error", LogLevel::kError}},
           [](Settings & s) -> auto& { return s.log_level; })},
      {"timeline", "events", Requirement::kOptional, "65536",
       "Events kept in memory.",
       SetCount(
           16, 1 << 22,
           [](Settings & s) -> auto& { return s.timeline_events; })},
      {"timeline", "file", Requirement::kOptional, "",
       "File that also receives every event.",
       [](Settings& settings, const std::string& text) -> std::string {
         settings.timeline_file = text;
         return "";
       }},
  };
}

Failure MakeSettingFailure(const std::string& section,
                           const std::string& key,
                           const std::string& problem) {
  return MakeFailure(ResultCode::kSettingsInvalid,
                     "[" + section + "] " + key + ": " + problem);
}

void ApplyField(const Field& field,
                const boost::property_tree::ptree& tree,
                Settings& settings,
                std::vector<Failure>& mistakes) {
  const auto section = tree.get_child_optional(field.section);
  const auto value = section ? section->get_optional<std::string>(field.key)
                             : boost::optional<std::string>();
  if (!value) {
    const bool required =
        field.requirement == Requirement::kRequired ||
        (field.requirement == Requirement::kRequiredForEndpoint &&
         settings.role == Role::kEndpoint);
    if (required) {
      mistakes.push_back(MakeSettingFailure(
          field.section, field.key, "missing; set it: " + field.meaning));
    }
    return;
  }
  const std::string remedy = field.set(settings, *value);
  if (!remedy.empty()) {
    mistakes.push_back(
        MakeSettingFailure(field.section, field.key,
                           "value \"" + *value + "\" refused; " + remedy));
  }
}

void FindUnknownKeys(const boost::property_tree::ptree& tree,
                     const std::vector<Field>& fields,
                     std::vector<Failure>& mistakes) {
  for (const auto& [section, keys] : tree) {
    for (const auto& [key, value] : keys) {
      const std::string name = section + "/" + key;
      const bool known = std::ranges::any_of(fields, [&](const Field& field) {
        return field.section + "/" + field.key == name;
      });
      if (!known) {
        mistakes.push_back(MakeSettingFailure(
            section, key, "unknown key; remove it or correct it"));
      }
    }
    if (keys.empty()) {
      mistakes.push_back(MakeSettingFailure(
          section, "", "unknown or empty section; remove it"));
    }
  }
}

}  // namespace

SettingsReport ParseSettings(std::string_view ini_text) {
  SettingsReport report;
  boost::property_tree::ptree tree;
  std::istringstream stream{std::string(ini_text)};
  try {
    boost::property_tree::ini_parser::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    report.mistakes.push_back(MakeFailure(
        ResultCode::kSettingsUnreadable,
        "line " + std::to_string(error.line()) + ": " + error.message()));
    return report;
  }
  const std::vector<Field> fields = MakeFields();
  Settings settings;
  settings.back_end = BackEndSettings{};
  for (const Field& field : fields) {
    ApplyField(field, tree, settings, report.mistakes);
  }
  FindUnknownKeys(tree, fields, report.mistakes);
  if (settings.role == Role::kEntryHost) {
    if (tree.get_child_optional("back_end")) {
      report.mistakes.push_back(MakeSettingFailure(
          "back_end", "*",
          "an entry host has no endpoint of its own; remove the "
          "section"));
    }
    settings.back_end.reset();
  }
  if (report.mistakes.empty()) {
    report.settings = settings;
  }
  return report;
}

SettingsReport LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return {
        std::nullopt,
        {MakeFailure(
            ResultCode::kSettingsUnreadable,
            path + " cannot be opened; check the path and its permissions")}};
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str());
}

std::string SettingsTable() {
  std::string table =
      "| section | key | needed | default | meaning |\n|---|---|---|---|---|\n";
  for (const Field& field : MakeFields()) {
    const char* requirement =
        field.requirement == Requirement::kRequired ? "always"
        : field.requirement == Requirement::kRequiredForEndpoint
            ? "role endpoint"
            : "no";
    table += "| `" + field.section + "` | `" + field.key + "` | " +
             requirement + " | " + field.default_text + " | " + field.meaning +
             " |\n";
  }
  return table;
}

}  // namespace toucanhollow
