#include "relay/crash_report_codec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cbor/read_cbor.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

constexpr std::string_view kTag = "crash";
// The CBOR head of an array of eight elements, and that of the tag.
constexpr std::string_view kPrefix =
    "\x88\x65"
    "crash";
// Keeps a datagram within the payload of an Ethernet frame.
constexpr std::size_t kCandidatesPerDatagram = 64;

constexpr unsigned int kIsolated = 1;
constexpr unsigned int kProven = 2;
constexpr unsigned int kCleared = 4;
constexpr unsigned int kAnswered = 8;

json ToJson(const CrashCandidate& candidate) {
  const unsigned int marks =
      (candidate.isolated ? kIsolated : 0) | (candidate.proven ? kProven : 0) |
      (candidate.cleared ? kCleared : 0) | (candidate.answered ? kAnswered : 0);
  return json::array({candidate.part.value, candidate.account, marks,
                      candidate.shortest_delay / kDelayUnit,
                      candidate.longest_delay / kDelayUnit});
}

Duration ReadDelay(const json& document) {
  return kDelayUnit * std::clamp<std::int64_t>(document.get<std::int64_t>(), 0,
                                               kMaxCrashDelay / kDelayUnit);
}

CrashCandidate ToCandidate(const json& document) {
  CrashCandidate candidate;
  candidate.part.value = document.at(0).get<std::uint64_t>();
  candidate.account = document.at(1).get<AccountHash>();
  const auto marks = document.at(2).get<unsigned int>();
  candidate.isolated = (marks & kIsolated) != 0;
  candidate.proven = (marks & kProven) != 0;
  candidate.cleared = (marks & kCleared) != 0;
  candidate.answered = (marks & kAnswered) != 0;
  // Hosts of an earlier version tell no delays.
  if (document.size() > 4) {
    candidate.shortest_delay = ReadDelay(document.at(3));
    candidate.longest_delay = ReadDelay(document.at(4));
  }
  return candidate;
}

std::string EncodePart(const CrashReport& report,
                       std::size_t begin,
                       std::size_t end) {
  const CrashRecord& record = report.record;
  json candidates = json::array();
  for (std::size_t i = begin; i < end; ++i) {
    candidates.push_back(ToJson(record.candidates[i]));
  }
  const std::vector<std::uint8_t> bytes = json::to_cbor(json::array(
      {kTag, record.server.address, record.server.start_time_ms, record.service,
       report.age.count(),
       report.quarantine_left ? json(report.quarantine_left->count())
                              : json(nullptr),
       report.term, std::move(candidates)}));
  return {bytes.begin(), bytes.end()};
}

CrashReport ToReport(const json& document) {
  CrashReport report;
  report.record.server = {document.at(1).get<std::uint32_t>(),
                          document.at(2).get<std::int64_t>()};
  report.record.service = document.at(3).get<std::uint32_t>();
  report.age = Duration(document.at(4).get<Duration::rep>());
  if (!document.at(5).is_null()) {
    report.quarantine_left = Duration(document.at(5).get<Duration::rep>());
  }
  report.term = document.at(6).get<int>();
  for (const json& candidate : document.at(7)) {
    report.record.candidates.push_back(ToCandidate(candidate));
  }
  return report;
}

// A time that no host sends would overflow when it is added to the present, and
// a number of terms when the next one is counted.
bool IsPlausible(const CrashReport& report) {
  constexpr Duration kLongest = std::chrono::hours(24 * 365);
  constexpr int kMostTerms = 1'000'000;
  return report.age >= Duration(0) && report.age < kLongest &&
         report.quarantine_left.value_or(Duration(0)) < kLongest &&
         report.quarantine_left.value_or(Duration(0)) > -kLongest &&
         report.term >= 0 && report.term <= kMostTerms;
}

}  // namespace

bool IsCrashReport(std::string_view bytes) {
  return bytes.starts_with(kPrefix);
}

std::vector<std::string> EncodeCrashReport(const CrashReport& report) {
  std::vector<std::string> datagrams;
  const std::size_t count = report.record.candidates.size();
  std::size_t begin = 0;
  do {
    const std::size_t end = std::min(begin + kCandidatesPerDatagram, count);
    datagrams.push_back(EncodePart(report, begin, end));
    begin = end;
  } while (begin < count);
  return datagrams;
}

Result<CrashReport> DecodeCrashReport(std::string_view bytes) {
  if (!IsCrashReport(bytes)) {
    return MakeFailure(ResultCode::kFrameMalformed, "not a crash report");
  }
  BOOST_OUTCOME_TRY(document, ReadCbor(bytes));
  try {
    const CrashReport report = ToReport(document);
    if (!IsPlausible(report)) {
      return MakeFailure(ResultCode::kFrameMalformed,
                         "the age, the remaining time or the term is out "
                         "of range");
    }
    return report;
  } catch (const json::exception& error) {
    return MakeFailure(ResultCode::kFrameMalformed, error.what());
  }
}

}  // namespace toucanhollow
