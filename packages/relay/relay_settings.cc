#include "relay/relay_settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <sstream>
#include <string_view>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "base/trim.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

using boost::property_tree::ptree;

Failure InvalidField(const std::string& field, const std::string& remedy) {
  return MakeFailure(ResultCode::kSettingsInvalid, field + ": " + remedy);
}

Result<std::string> ReadText(const ptree& tree, const std::string& field) {
  const auto value = tree.get_optional<std::string>(field);
  if (!value || value->empty()) {
    return InvalidField(field, "missing; set it");
  }
  return *value;
}

Result<Address> ReadAddress(const ptree& tree, const std::string& field) {
  BOOST_OUTCOME_TRY(text, ReadText(tree, field));
  Result<Address> address = ParseAddress(text);
  if (!address) {
    return InvalidField(field, address.error().detail);
  }
  return address;
}

struct NumberRange {
  double low = 0;
  double high = 0;
};

// The number, which may be out of the range, or nothing if the text is none.
std::optional<double> ParseNumber(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  // from_chars reads "nan", which has no place in a range.
  if (error != std::errc() || stop != end || std::isnan(value)) {
    return std::nullopt;
  }
  return value;
}

Failure RefusedNumber(const std::string& field,
                      const std::string& text,
                      const NumberRange& range) {
  std::ostringstream remedy;
  remedy << "value \"" << text << "\" refused; use a number from " << range.low
         << " to " << range.high;
  return InvalidField(field, remedy.str());
}

Result<double> ReadNumber(const ptree& tree,
                          const std::string& field,
                          const NumberRange& range) {
  BOOST_OUTCOME_TRY(text, ReadText(tree, field));
  const std::optional<double> value = ParseNumber(text);
  if (!value || *value < range.low || *value > range.high) {
    return RefusedNumber(field, text, range);
  }
  return *value;
}

// The entries that are addresses. Mistakes are added for the others.
std::vector<Address> ReadAddresses(const ptree& tree,
                                   const std::string& field,
                                   std::vector<Failure>& mistakes) {
  std::vector<Address> addresses;
  std::istringstream parts(tree.get<std::string>(field, ""));
  for (std::string part; std::getline(parts, part, ',');) {
    const std::string_view entry = Trim(part);
    if (entry.empty()) {
      continue;
    }
    const Result<Address> address = ParseAddress(entry);
    if (address) {
      addresses.push_back(address.value());
    } else {
      mistakes.push_back(InvalidField(field, address.error().detail));
    }
  }
  return addresses;
}

bool HasValue(const ptree& tree, const std::string& field) {
  const auto value = tree.get_optional<std::string>(field);
  return value && !value->empty();
}

// A number that has a default. The platform writes an empty value for a field
// that it does not have, which then has its default, as has a text that is no
// number. A number out of the range has the nearest one in it. A mistake is
// added for both.
double ReadNumberOr(const ptree& tree,
                    const std::string& field,
                    const NumberRange& range,
                    double default_value,
                    std::vector<Failure>& mistakes) {
  if (!HasValue(tree, field)) {
    return default_value;
  }
  const auto text = tree.get<std::string>(field);
  const std::optional<double> value = ParseNumber(text);
  const double used =
      value ? std::clamp(*value, range.low, range.high) : default_value;
  if (value != used) {
    mistakes.push_back(RefusedNumber(field, text, range));
  }
  return used;
}

double ToSeconds(Duration duration) {
  return ToMilliseconds(duration) / 1000;
}

Duration ToDuration(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

constexpr double kMaxPort = 65535;
constexpr double kMaxPartitions = 4096;
constexpr double kMaxSeconds = 3600;
constexpr double kMaxMilliseconds = kMaxSeconds * 1000;
constexpr double kMaxSlack = 1e6;
constexpr double kMinDescriptors = 64;
constexpr double kMebibyte = 1024.0 * 1024.0;
// With less a relay would refuse most requests.
constexpr double kMinMemoryMb = 64;
constexpr double kMaxMemoryMb = 1e9;
// Containers often have a limit of 2^30 open files.
constexpr double kMaxDescriptors = std::numeric_limits<int>::max();

// Reads the numbers that have a default. One that is missing altogether is a
// mistake, because the file may be incomplete.
Result<bool> ReadBounds(const ptree& tree, RelaySettings& settings) {
  for (const char* field :
       {"limits.descriptors", "shutdown.grace_s", "bounds.drain_ms",
        "bounds.contact_ms", "retries.ratio", "retries.window_s",
        "retries.slack", "cold.burst_factor", "cold.slack"}) {
    if (!tree.get_optional<std::string>(field)) {
      return InvalidField(field, "missing; set it");
    }
  }
  const auto read = [&](const char* field, const NumberRange& range,
                        double default_value) {
    return ReadNumberOr(tree, field, range, default_value, settings.mistakes);
  };
  settings.store_partitions = static_cast<int>(
      read("store.partitions", {1, kMaxPartitions}, settings.store_partitions));
  settings.max_descriptors = static_cast<std::size_t>(
      read("limits.descriptors", {kMinDescriptors, kMaxDescriptors},
           static_cast<double>(settings.max_descriptors)));
  settings.memory_bytes = static_cast<std::size_t>(
      read("limits.memory_mb", {kMinMemoryMb, kMaxMemoryMb},
           static_cast<double>(settings.memory_bytes) / kMebibyte) *
      kMebibyte);
  settings.grace = ToDuration(
      read("shutdown.grace_s", {0.5, kMaxSeconds}, ToSeconds(settings.grace)));
  settings.drain_bound =
      ToDuration(read("bounds.drain_ms", {100, kMaxMilliseconds},
                      ToMilliseconds(settings.drain_bound)) /
                 1000);
  settings.contact_bound =
      ToDuration(read("bounds.contact_ms", {1000, kMaxMilliseconds},
                      ToMilliseconds(settings.contact_bound)) /
                 1000);
  RetryBound& retry = settings.retry;
  retry.ratio = read("retries.ratio", {0, 1}, retry.ratio);
  retry.window = ToDuration(
      read("retries.window_s", {0.1, kMaxSeconds}, ToSeconds(retry.window)));
  retry.slack = read("retries.slack", {0, kMaxSlack}, retry.slack);
  ColdBound& cold = settings.cold;
  cold.burst_factor = read("cold.burst_factor", {0, 100}, cold.burst_factor);
  cold.slack = read("cold.slack", {0, kMaxSlack}, cold.slack);
  return true;
}

}  // namespace

Result<RelaySettings> ParseRelaySettings(const std::string& text,
                                         const std::string& memory_mb) {
  ptree tree;
  try {
    std::istringstream stream(text);
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return InvalidField("line " + std::to_string(error.line()),
                        error.message());
  }
  if (!HasValue(tree, "limits.memory_mb") && !memory_mb.empty()) {
    tree.put("limits.memory_mb", memory_mb);
  }
  RelaySettings settings;
  BOOST_OUTCOME_TRY(process_value, ReadText(tree, "process.name"));
  settings.process.value = process_value;
  BOOST_OUTCOME_TRY(data_centre_value, ReadText(tree, "process.data_centre"));
  settings.data_centre.value = data_centre_value;
  BOOST_OUTCOME_TRY(callers, ReadAddress(tree, "listen.callers"));
  settings.callers = callers;
  BOOST_OUTCOME_TRY(readiness, ReadAddress(tree, "listen.readiness"));
  settings.readiness = readiness;
  BOOST_OUTCOME_TRY(control, ReadAddress(tree, "listen.control"));
  settings.control = control;
  constexpr NumberRange kPorts{1, kMaxPort};
  BOOST_OUTCOME_TRY(report_port,
                    ReadNumber(tree, "listen.report_port", kPorts));
  BOOST_OUTCOME_TRY(metrics_port,
                    ReadNumber(tree, "listen.metrics_port", kPorts));
  BOOST_OUTCOME_TRY(rank_call_port,
                    ReadNumber(tree, "listen.rank_call_port", kPorts));
  // The platform's template has no name for the port after the first one.
  settings.permit_port = static_cast<std::uint16_t>(
      report_port + (rank_call_port == report_port + 1 ? 2 : 1));
  if (HasValue(tree, "listen.permit_port")) {
    BOOST_OUTCOME_TRY(permit_port,
                      ReadNumber(tree, "listen.permit_port", kPorts));
    settings.permit_port = static_cast<std::uint16_t>(permit_port);
  }
  settings.report_port = static_cast<std::uint16_t>(report_port);
  settings.metrics_port = static_cast<std::uint16_t>(metrics_port);
  settings.rank_call_port = static_cast<std::uint16_t>(rank_call_port);
  if (settings.report_port == settings.rank_call_port ||
      settings.report_port == settings.permit_port ||
      settings.rank_call_port == settings.permit_port) {
    return InvalidField("listen",
                        "report_port, rank_call_port and permit_port must "
                        "differ; they are ports of UDP sockets");
  }
  BOOST_OUTCOME_TRY(store, ReadAddress(tree, "store.address"));
  settings.store = store;
  settings.seeds = ReadAddresses(tree, "peers.seeds", settings.mistakes);
  BOOST_OUTCOME_TRYV(ReadBounds(tree, settings));
  return settings;
}

}  // namespace toucanhollow
