#include "ctl/format_config.h"

#include "base/result.h"

namespace toucanhollow {
namespace {

const char* GetValidityText(const ConfigCopy& copy) {
  if (copy.removed) {
    return "removed";
  }
  switch (copy.validity) {
    case ContentValidity::kValid:
      return "in_force";
    case ContentValidity::kInvalid:
      return "invalid_last_good_stays";
    case ContentValidity::kOpaque:
      break;
  }
  return "newer_schema_last_good_stays";
}

std::string FormatSubject(const std::string& label,
                          const SubjectState& subject) {
  std::string text;
  if (subject.copies.latest) {
    const ConfigCopy& copy = *subject.copies.latest;
    text += label + " revision=" + std::to_string(copy.offset) +
            " schema=" + std::to_string(copy.schema) + " " +
            GetValidityText(copy) + " change=" + copy.change_id + " " +
            copy.text + "\n";
    for (const Failure& finding : copy.findings) {
      text += "  " + FormatFailure(finding) + "\n";
    }
  }
  for (const PublishedRecord& record : subject.undecided) {
    text += label + " offset=" + std::to_string(record.copy.offset) +
            " undecided change=" + record.copy.change_id + "\n";
  }
  return text;
}

}  // namespace

std::string FormatConfig(const ConfigState& state, const std::string& prefix) {
  std::string text;
  for (const auto& [subject, subject_state] : state.subjects) {
    const std::string label = subject.kind + "/" + subject.name;
    if (label.starts_with(prefix)) {
      text += FormatSubject(label, subject_state);
    }
  }
  return text;
}

}  // namespace toucanhollow
