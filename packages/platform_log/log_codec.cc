#include "platform_log/log_codec.h"

#include <cstdint>

#include "http_message/http_message.h"

namespace toucanhollow {
namespace {

// Removes the decimal number before `end`, and `end` itself, from the front of
// the text and returns the number.
std::optional<std::int64_t> ConsumeNumber(std::string_view& text, char end) {
  const std::size_t length = text.find(end);
  if (length == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = ParseDecimal(text.substr(0, length));
  if (!number.has_value() || *number < 0) {
    return std::nullopt;
  }
  text.remove_prefix(length + 1);
  return number;
}

std::optional<std::string> ConsumePayload(std::string_view& text) {
  const auto length = ConsumeNumber(text, '\n');
  if (!length.has_value() || static_cast<std::size_t>(*length) > text.size()) {
    return std::nullopt;
  }
  std::string payload(text.substr(0, static_cast<std::size_t>(*length)));
  text.remove_prefix(payload.size());
  return payload;
}

}  // namespace

std::string EncodePayloads(const std::vector<std::string>& payloads) {
  std::string text;
  for (const std::string& payload : payloads) {
    text += std::to_string(payload.size()) + '\n' + payload;
  }
  return text;
}

std::optional<std::vector<std::string>> DecodePayloads(std::string_view text) {
  std::vector<std::string> payloads;
  while (!text.empty()) {
    auto payload = ConsumePayload(text);
    if (!payload.has_value()) {
      return std::nullopt;
    }
    payloads.push_back(*std::move(payload));
  }
  return payloads;
}

std::string EncodeBatch(const LogBatch& batch) {
  std::string text = std::to_string(batch.status.first_offset) + ' ' +
                     std::to_string(batch.status.next_offset) + ' ' +
                     std::to_string(batch.status.retention.count()) + '\n';
  for (const LogEntry& entry : batch.entries) {
    text += std::to_string(entry.offset) + ' ' +
            std::to_string(entry.time.time_since_epoch().count()) + ' ' +
            std::to_string(entry.payload.size()) + '\n' + entry.payload;
  }
  return text;
}

std::optional<LogBatch> DecodeBatch(std::string_view text) {
  const auto first = ConsumeNumber(text, ' ');
  const auto next = first ? ConsumeNumber(text, ' ') : std::nullopt;
  const auto retention = next ? ConsumeNumber(text, '\n') : std::nullopt;
  if (!retention.has_value() || *first < 1 || *next < *first) {
    return std::nullopt;
  }
  LogBatch batch;
  batch.status = {*first, *next, Duration(*retention)};
  while (!text.empty()) {
    const auto offset = ConsumeNumber(text, ' ');
    const auto time = offset ? ConsumeNumber(text, ' ') : std::nullopt;
    auto payload = time ? ConsumePayload(text) : std::nullopt;
    const bool in_order =
        batch.entries.empty() ||
        (offset.has_value() && *offset == batch.entries.back().offset + 1);
    if (!payload.has_value() || !in_order || *offset < *first ||
        *offset >= *next) {
      return std::nullopt;
    }
    batch.entries.push_back(
        {*offset, WallTime(Duration(*time)), *std::move(payload)});
  }
  return batch;
}

}  // namespace toucanhollow
