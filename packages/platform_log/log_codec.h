// The platform log's HTTP format. Only this package knows it.
//
//   POST /streams/<stream>/entries[?append_id=<id>]   payloads -> LogBatch
//        (without entries; first_offset is the first appended offset)
//   GET  /streams/<stream>/entries?from=&limit=&wait_ms=       -> LogBatch
//   GET  /streams/<stream>/status                              -> LogBatch
//
// Status 410 answers a read before the first offset, with the status as body.
// A refusal whose body starts with kNotAppended changed nothing.
#ifndef PLATFORM_LOG_LOG_CODEC_H_
#define PLATFORM_LOG_LOG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform_log/log_status.h"

namespace toucanhollow {

inline constexpr std::string_view kNotAppended = "not appended";

// Payloads of one append: "<length>\n<payload>" each.
std::string EncodePayloads(const std::vector<std::string>& payloads);
std::optional<std::vector<std::string>> DecodePayloads(std::string_view text);

// "<first> <next> <retention in us>\n", then "<offset> <time in us>
// <length>\n<payload>" for each entry.
std::string EncodeBatch(const LogBatch& batch);
std::optional<LogBatch> DecodeBatch(std::string_view text);

}  // namespace toucanhollow

#endif  // PLATFORM_LOG_LOG_CODEC_H_
