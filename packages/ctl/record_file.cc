#include "ctl/record_file.h"

#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "config/validate_record.h"
#include "log_codec/config_codec.h"

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

constexpr const char* kUnsetChange = "unset";

RecordReport Mistake(ResultCode code, std::string detail) {
  RecordReport report;
  report.mistakes.push_back(MakeFailure(code, std::move(detail)));
  return report;
}

RecordReport DecodeEnvelope(Json envelope) {
  // The publisher sets both later; readers of the log require them.
  envelope["change_id"] = kUnsetChange;
  envelope["expected_revision"] = 0;
  LogEntry entry;
  entry.offset = 1;
  const Json payload = {{"record", std::move(envelope)}};
  entry.payload = payload.dump(-1, ' ', false, Json::error_handler_t::replace);
  ConfigEntry decoded = DecodeConfig(entry);
  if (const auto* bad = std::get_if<UnreadableRecord>(&decoded.record)) {
    return Mistake(bad->failure.code, bad->failure.detail);
  }
  auto* record = std::get_if<PublishedRecord>(&decoded.record);
  if (record == nullptr) {
    return Mistake(ResultCode::kRecordMalformed,
                   "a refresh is written by the system only; publish records");
  }
  RecordReport report;
  report.mistakes = ValidateEnvelope(*record);
  std::ranges::copy(record->copy.findings, std::back_inserter(report.mistakes));
  report.record = std::move(*record);
  return report;
}

}  // namespace

RecordReport ParseRecordFile(std::string_view text) {
  Json envelope = Json::parse(text, nullptr, /*allow_exceptions=*/false,
                              /*ignore_comments=*/true);
  if (!envelope.is_object()) {
    return Mistake(ResultCode::kRecordMalformed,
                   "the file is not one JSON object; see docs/operators.md");
  }
  for (const auto& [field, value] : envelope.items()) {
    if (field != "kind" && field != "subject" && field != "schema" &&
        field != "content" && field != "removed") {
      return Mistake(ResultCode::kRecordUnknownField,
                     field + " is not a field of a record file; remove it");
    }
  }
  return DecodeEnvelope(std::move(envelope));
}

RecordReport ChangeState(const ConfigSubject& subject,
                         const ConfigCopy& current,
                         bool in_service) {
  Json content = Json::parse(current.text, nullptr, false);
  if (current.removed || !content.is_object()) {
    return Mistake(ResultCode::kRecordFieldMissing,
                   subject.kind + "/" + subject.name +
                       " has no content; publish a whole record first");
  }
  content["state"] = in_service ? "in_service" : "out";
  return DecodeEnvelope({{"kind", subject.kind},
                         {"subject", subject.name},
                         {"schema", current.schema},
                         {"content", std::move(content)}});
}

}  // namespace toucanhollow
