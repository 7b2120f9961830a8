// HTTP format of the platform log. Only this package encodes and
// decodes it.
//
//   POST /streams/<stream>/entries[?append_id=<id>]   payloads -> LogBatch
//        (without entries; first_offset is the first appended offset)
//   GET  /streams/<stream>/entries?from=&limit=&wait_ms=       -> LogBatch
//   GET  /streams/<stream>/status                              -> LogBatch
//
// The log answers a read from before the first offset with HTTP status 410 and
// a LogBatch without entries as body. An append that is refused with a body
// that starts with kNotAppended had no effect.
#ifndef PLATFORM_LOG_LOG_CODEC_H_
#define PLATFORM_LOG_LOG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform_log/log_status.h"

namespace toucanhollow {

inline constexpr std::string_view kNotAppended = "not appended";

// Encodes the payloads of one append as "<length>\n<payload>" each.
std::string EncodePayloads(const std::vector<std::string>& payloads);
std::optional<std::vector<std::string>> DecodePayloads(std::string_view text);

// Encodes the batch as "<first offset> <next offset> <retention in us>\n",
// followed by "<offset> <time in us> <length>\n<payload>" for each entry.
std::string EncodeBatch(const LogBatch& batch);
std::optional<LogBatch> DecodeBatch(std::string_view text);

}  // namespace toucanhollow

#endif  // PLATFORM_LOG_LOG_CODEC_H_
