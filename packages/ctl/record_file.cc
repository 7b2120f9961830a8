#include "ctl/record_file.h"

#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "config/validate_record.h"
#include "log_codec/config_codec.h"

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

constexpr const char* kPlaceholderChangeId = "unset";

RecordReport MakeFailedReport(ResultCode code, std::string detail) {
  RecordReport report;
  report.failures.push_back(MakeFailure(code, std::move(detail)));
  return report;
}

RecordReport DecodeEnvelope(Json envelope) {
  // DecodeConfig requires both fields; the publisher sets their values later.
  envelope["change_id"] = kPlaceholderChangeId;
  envelope["expected_revision"] = 0;
  LogEntry entry;
  entry.offset = 1;
  const Json payload = {{"record", std::move(envelope)}};
  entry.payload = payload.dump(-1, ' ', false, Json::error_handler_t::replace);
  ConfigEntry decoded = DecodeConfig(entry);
  if (const auto* unreadable = std::get_if<UnreadableRecord>(&decoded.record)) {
    return MakeFailedReport(unreadable->failure.code,
                            unreadable->failure.detail);
  }
  auto* record = std::get_if<PublishedRecord>(&decoded.record);
  if (record == nullptr) {
    return MakeFailedReport(
        ResultCode::kRecordMalformed,
        "the file holds a refresh, which only entry hosts write; publish a "
        "record");
  }
  RecordReport report;
  report.failures = ValidateEnvelope(*record);
  std::ranges::copy(record->copy.findings, std::back_inserter(report.failures));
  report.record = std::move(*record);
  return report;
}

}  // namespace

RecordReport ParseRecordFile(std::string_view text) {
  Json envelope = Json::parse(text, nullptr, /*allow_exceptions=*/false,
                              /*ignore_comments=*/true);
  if (!envelope.is_object()) {
    return MakeFailedReport(
        ResultCode::kRecordMalformed,
        "the file is not a single JSON object; see docs/operators.md");
  }
  for (const auto& [field, value] : envelope.items()) {
    if (field != "kind" && field != "subject" && field != "schema" &&
        field != "content" && field != "removed") {
      return MakeFailedReport(
          ResultCode::kRecordUnknownField,
          field + " is not a field of a record file; remove it");
    }
  }
  return DecodeEnvelope(std::move(envelope));
}

RecordReport MakeServiceStateRecord(const ConfigSubject& subject,
                                    const ConfigCopy& current,
                                    bool in_service) {
  Json content = Json::parse(current.text, nullptr, false);
  if (current.removed || !content.is_object()) {
    return MakeFailedReport(
        ResultCode::kRecordFieldMissing,
        subject.kind + "/" + subject.name +
            " has no content; publish a complete record first");
  }
  content["state"] = in_service ? "in_service" : "out";
  return DecodeEnvelope({{"kind", subject.kind},
                         {"subject", subject.name},
                         {"schema", current.schema},
                         {"content", std::move(content)}});
}

}  // namespace toucanhollow
