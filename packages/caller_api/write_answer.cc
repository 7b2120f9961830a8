#include "caller_api/write_answer.h"

#include <array>
#include <cstddef>

namespace toucanhollow {
namespace {

// Returns the length in bytes of the UTF-8 sequence at `position`, or 0 if it
// is invalid.
std::size_t Utf8Length(std::string_view text, std::size_t position) {
  const auto byte = [&](std::size_t offset) {
    return position + offset < text.size()
               ? static_cast<unsigned char>(text[position + offset])
               : 0U;
  };
  const unsigned first = byte(0);
  const auto continues = [&](std::size_t offset) {
    return (byte(offset) & 0xC0U) == 0x80U;
  };
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xC2 && first <= 0xDF && continues(1)) {
    return 2;
  }
  if (first >= 0xE0 && first <= 0xEF && continues(1) && continues(2)) {
    const bool overlong = first == 0xE0 && byte(1) < 0xA0;
    const bool surrogate = first == 0xED && byte(1) > 0x9F;
    return overlong || surrogate ? 0 : 3;
  }
  if (first >= 0xF0 && first <= 0xF4 && continues(1) && continues(2) &&
      continues(3)) {
    const bool overlong = first == 0xF0 && byte(1) < 0x90;
    const bool too_high = first == 0xF4 && byte(1) > 0x8F;
    return overlong || too_high ? 0 : 4;
  }
  return 0;
}

void AppendQuoted(std::string& out, std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  out += '"';
  for (std::size_t i = 0; i < text.size();) {
    const char character = text[i];
    if (character == '"' || character == '\\') {
      out += '\\';
      out += character;
      ++i;
    } else if (character == '\n') {
      out += "\\n";
      ++i;
    } else if (static_cast<unsigned char>(character) < 0x20) {
      out += "\\u00";
      out += kHex[static_cast<unsigned char>(character) >> 4U];
      out += kHex[static_cast<unsigned char>(character) & 0xFU];
      ++i;
    } else if (const std::size_t length = Utf8Length(text, i); length > 0) {
      out.append(text, i, length);
      i += length;
    } else {
      out += "\\ufffd";
      ++i;
    }
  }
  out += '"';
}

std::int64_t CreatedSeconds(const AnswerMetadata& metadata) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             metadata.created.time_since_epoch())
      .count();
}

std::string WriteHead(const AnswerMetadata& metadata, std::string_view object) {
  std::string out = "{\"id\":";
  AppendQuoted(out, metadata.request.value);
  out += ",\"object\":\"";
  out += object;
  out += "\",\"created\":" + std::to_string(CreatedSeconds(metadata)) +
         ",\"model\":";
  AppendQuoted(out, metadata.model.value);
  out += ",\"choices\":[{\"index\":0,";
  return out;
}

std::string WriteStreamHead(const AnswerMetadata& metadata) {
  return "data: " + WriteHead(metadata, metadata.format == AnswerFormat::kChat
                                            ? "chat.completion.chunk"
                                            : "text_completion");
}

std::string WriteErrorObject(const Failure& failure, const RequestId& request) {
  const ResultCodeDescription& description = DescribeResultCode(failure.code);
  std::string out =
      "{\"error\":{\"code\":" +
      std::to_string(static_cast<int>(description.code)) + ",\"name\":\"" +
      std::string(description.name) + "\",\"outcome\":\"" +
      (IsCertainlyNotRun(description.code) ? "not_run" : "unknown") +
      "\",\"request_id\":";
  AppendQuoted(out, request.value);
  out += ",\"detail\":";
  AppendQuoted(out,
               failure.detail.empty() ? description.meaning : failure.detail);
  return out + "}}";
}

}  // namespace

std::string QuoteJson(std::string_view text) {
  std::string out;
  AppendQuoted(out, text);
  return out;
}

std::string WriteChunk(const AnswerMetadata& metadata, std::string_view text) {
  std::string out = WriteStreamHead(metadata);
  const bool chat = metadata.format == AnswerFormat::kChat;
  out += chat ? "\"delta\":{\"content\":" : "\"text\":";
  AppendQuoted(out, text);
  out += chat ? "},\"finish_reason\":null}]}\n\n"
              : ",\"finish_reason\":null}]}\n\n";
  return out;
}

std::string WriteStreamEnd(const AnswerMetadata& metadata,
                           std::string_view finish_reason) {
  std::string out = WriteStreamHead(metadata);
  out +=
      metadata.format == AnswerFormat::kChat ? "\"delta\":{}" : "\"text\":\"\"";
  out += ",\"finish_reason\":";
  AppendQuoted(out, finish_reason);
  return out + "}]}\n\ndata: [DONE]\n\n";
}

std::string WriteWholeAnswer(const AnswerMetadata& metadata,
                             std::string_view text,
                             std::uint64_t completion_tokens,
                             std::string_view finish_reason) {
  const bool chat = metadata.format == AnswerFormat::kChat;
  std::string out =
      WriteHead(metadata, chat ? "chat.completion" : "text_completion");
  out +=
      chat ? "\"message\":{\"role\":\"assistant\",\"content\":" : "\"text\":";
  AppendQuoted(out, text);
  out += chat ? "},\"finish_reason\":" : ",\"finish_reason\":";
  AppendQuoted(out, finish_reason);
  return out + "}],\"usage\":{\"completion_tokens\":" +
         std::to_string(completion_tokens) + "}}";
}

std::string WriteError(const Failure& failure, const RequestId& request) {
  return WriteErrorObject(failure, request) + "\n";
}

std::string WriteStreamError(const Failure& failure, const RequestId& request) {
  return "data: " + WriteErrorObject(failure, request) + "\n\n";
}

}  // namespace toucanhollow
