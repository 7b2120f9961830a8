#include "relay/relay_settings.h"

#include <charconv>
#include <limits>
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

Result<double> ReadNumber(const ptree& tree,
                          const std::string& field,
                          double low,
                          double high) {
  BOOST_OUTCOME_TRY(text, ReadText(tree, field));
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  // from_chars reads "nan", which no comparison holds for.
  const bool in_range = value >= low && value <= high;
  if (error != std::errc() || stop != end || !in_range) {
    std::ostringstream remedy;
    remedy << "value \"" << text << "\" refused; use a number from " << low
           << " to " << high;
    return InvalidField(field, remedy.str());
  }
  return value;
}

Result<std::vector<Address>> ReadAddresses(const ptree& tree,
                                           const std::string& field) {
  std::vector<Address> addresses;
  std::istringstream parts(tree.get<std::string>(field, ""));
  for (std::string part; std::getline(parts, part, ',');) {
    const std::string_view entry = Trim(part);
    if (entry.empty()) {
      continue;
    }
    const Result<Address> address = ParseAddress(entry);
    if (!address) {
      return InvalidField(field, address.error().detail);
    }
    addresses.push_back(address.value());
  }
  return addresses;
}

// The platform writes an empty value for a field that it does not have.
bool IsEmpty(const ptree& tree, const std::string& field) {
  const auto value = tree.get_optional<std::string>(field);
  return value && value->empty();
}

bool HasValue(const ptree& tree, const std::string& field) {
  const auto value = tree.get_optional<std::string>(field);
  return value && !value->empty();
}

// Like ReadNumber, with a default for an empty value. A missing field is a
// mistake, because the file may be incomplete.
Result<double> ReadNumberOr(const ptree& tree,
                            const std::string& field,
                            double low,
                            double high,
                            double default_value) {
  if (IsEmpty(tree, field)) {
    return default_value;
  }
  return ReadNumber(tree, field, low, high);
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
constexpr double kMebibyte = 1024.0 * 1024.0;
constexpr double kMaxMemoryMb = 1e9;
// Containers often have a limit of 2^30 open files.
constexpr double kMaxDescriptors = std::numeric_limits<int>::max();

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
  BOOST_OUTCOME_TRY(report_port,
                    ReadNumber(tree, "listen.report_port", 1, kMaxPort));
  BOOST_OUTCOME_TRY(metrics_port,
                    ReadNumber(tree, "listen.metrics_port", 1, kMaxPort));
  BOOST_OUTCOME_TRY(rank_call_port,
                    ReadNumber(tree, "listen.rank_call_port", 1, kMaxPort));
  // The platform's template has no name for the port after the first one.
  settings.permit_port = static_cast<std::uint16_t>(
      report_port + (rank_call_port == report_port + 1 ? 2 : 1));
  if (HasValue(tree, "listen.permit_port")) {
    BOOST_OUTCOME_TRY(permit_port,
                      ReadNumber(tree, "listen.permit_port", 1, kMaxPort));
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
  if (HasValue(tree, "store.partitions")) {
    BOOST_OUTCOME_TRY(partitions,
                      ReadNumber(tree, "store.partitions", 1, kMaxPartitions));
    settings.store_partitions = static_cast<int>(partitions);
  }
  BOOST_OUTCOME_TRY(seeds, ReadAddresses(tree, "peers.seeds"));
  settings.seeds = seeds;
  BOOST_OUTCOME_TRY(
      descriptors, ReadNumberOr(tree, "limits.descriptors", 64, kMaxDescriptors,
                                static_cast<double>(settings.max_descriptors)));
  settings.max_descriptors = static_cast<std::size_t>(descriptors);
  if (HasValue(tree, "limits.memory_mb")) {
    BOOST_OUTCOME_TRY(memory_mb,
                      ReadNumber(tree, "limits.memory_mb", 1, kMaxMemoryMb));
    settings.memory_bytes = static_cast<std::size_t>(memory_mb * kMebibyte);
  }
  BOOST_OUTCOME_TRY(grace_s,
                    ReadNumberOr(tree, "shutdown.grace_s", 0.5, kMaxSeconds,
                                 ToSeconds(settings.grace)));
  settings.grace = ToDuration(grace_s);
  BOOST_OUTCOME_TRY(drain_ms,
                    ReadNumberOr(tree, "bounds.drain_ms", 100, 3.6e6,
                                 ToMilliseconds(settings.drain_bound)));
  settings.drain_bound = ToDuration(drain_ms / 1000);
  BOOST_OUTCOME_TRY(contact_ms,
                    ReadNumberOr(tree, "bounds.contact_ms", 1000, 3.6e6,
                                 ToMilliseconds(settings.contact_bound)));
  settings.contact_bound = ToDuration(contact_ms / 1000);
  RetryBound& retry = settings.retry;
  BOOST_OUTCOME_TRY(retry_ratio,
                    ReadNumberOr(tree, "retries.ratio", 0, 1, retry.ratio));
  retry.ratio = retry_ratio;
  BOOST_OUTCOME_TRY(window_s,
                    ReadNumberOr(tree, "retries.window_s", 0.1, kMaxSeconds,
                                 ToSeconds(retry.window)));
  retry.window = ToDuration(window_s);
  BOOST_OUTCOME_TRY(retry_slack,
                    ReadNumberOr(tree, "retries.slack", 0, 1e6, retry.slack));
  retry.slack = retry_slack;
  ColdBound& cold = settings.cold;
  BOOST_OUTCOME_TRY(cold_burst_factor, ReadNumberOr(tree, "cold.burst_factor",
                                                    0, 100, cold.burst_factor));
  cold.burst_factor = cold_burst_factor;
  BOOST_OUTCOME_TRY(cold_slack,
                    ReadNumberOr(tree, "cold.slack", 0, 1e6, cold.slack));
  cold.slack = cold_slack;
  return settings;
}

}  // namespace toucanhollow
