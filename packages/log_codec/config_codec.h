// Encodes and decodes entries of the log stream `config`, and the configuration
// snapshots that toucanhollow processes exchange.
#ifndef LOG_CODEC_CONFIG_CODEC_H_
#define LOG_CODEC_CONFIG_CODEC_H_

#include <string>
#include <string_view>

#include "base/log_entry.h"
#include "base/result.h"
#include "config/config_record.h"

namespace toucanhollow {

// Returns the payload for a record that an operator publishes. `copy.text` must
// be a JSON object, as returned by EncodeContent, and is published unchanged.
std::string EncodeRecord(const PublishedRecord& record);

// Returns the payload of a refresh entry.
std::string EncodeRefresh(const ConfigRefresh& refresh);

// Decodes one entry. Content that this version cannot use is retained with its
// findings, because the acceptance of a record does not depend on its content.
// Never throws.
ConfigEntry DecodeConfig(const LogEntry& entry);

// Returns the content as JSON text of schema 2.
std::string EncodeContent(const ConfigContent& content);

// Parses and validates `copy.text`, and sets the content and findings of the
// copy accordingly; every reader of a copy does so. Codes in `findings`:
// kRecordMalformed, kRecordFieldMissing, kRecordFieldInvalid,
// kRecordSchemaUnknown, kRecordUnknownField.
ConfigCopy ValidateCopy(const ConfigSubject& subject, ConfigCopy copy);

std::string EncodeSnapshot(const ConfigSnapshot& snapshot);

// Fails with kRecordMalformed. Subjects that cannot be decoded are omitted. If
// subjects are omitted or missing, `complete_as_of` is -1.
Result<ConfigSnapshot> DecodeSnapshot(std::string_view text);

}  // namespace toucanhollow

#endif  // LOG_CODEC_CONFIG_CODEC_H_
