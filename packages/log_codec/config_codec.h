// Entries of the log's stream `config`, and snapshots between own processes, to
// and from text.
#ifndef LOG_CODEC_CONFIG_CODEC_H_
#define LOG_CODEC_CONFIG_CODEC_H_

#include <string>
#include <string_view>

#include "base/log_entry.h"
#include "base/result.h"
#include "config/config_record.h"

namespace toucanhollow {

// The payload of an operator's record. `copy.text` is published as it is; it
// must be a JSON object, as EncodeContent gives it.
std::string EncodeRecord(const PublishedRecord& record);

std::string EncodeRefresh(const ConfigRefresh& refresh);

// Never throws. Content that cannot be used is kept with its findings, since
// acceptance does not depend on it.
ConfigEntry DecodeConfig(const LogEntry& entry);

// The content as text of schema 2.
std::string EncodeContent(const ConfigContent& content);

// Judges the copy by its text, as every reader does. Codes in `findings`:
// kRecordMalformed, kRecordFieldMissing, kRecordFieldInvalid,
// kRecordSchemaUnknown, kRecordUnknownField.
ConfigCopy JudgeCopy(const ConfigSubject& subject, ConfigCopy copy);

std::string EncodeSnapshot(const ConfigSnapshot& snapshot);

// Codes: kRecordMalformed.
Result<ConfigSnapshot> DecodeSnapshot(std::string_view text);

}  // namespace toucanhollow

#endif  // LOG_CODEC_CONFIG_CODEC_H_
