#include "relay/quarantine_record.h"

#include <algorithm>

#include "base/hash.h"

namespace toucanhollow {

std::string QuarantineKey(const std::vector<PartId>& parts) {
  std::string text;
  for (const PartId part : parts) {
    text += FormatPartId(part);
  }
  return parts.size() == 1 ? text : FormatPartId({HashText(text)});
}

CrashReport ToCrashReport(const QuarantineRecord& record, WallTime now) {
  const std::vector<PartId> parts = IdentifyParts(record.service, record.parts);
  CrashReport report;
  // No server has the address 0, so the record stands for no crash that hosts
  // know of.
  report.record.server = {
      0, static_cast<std::int64_t>(HashText(QuarantineKey(parts)) >> 1U)};
  report.record.service =
      static_cast<std::uint32_t>(HashText(record.service.value));
  for (const PartId part : parts) {
    CrashCandidate candidate;
    candidate.part = part;
    candidate.account = record.account;
    candidate.isolated = true;
    report.record.candidates.push_back(candidate);
  }
  report.age = std::max(now - record.since, Duration(0));
  report.quarantine_left = record.until - now;
  report.term = record.term;
  return report;
}

}  // namespace toucanhollow
