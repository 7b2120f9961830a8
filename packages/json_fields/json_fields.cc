#include "json_fields/json_fields.h"

#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanhollow {
namespace {

using nlohmann::json;

std::optional<std::string> TextToBytes(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < 0x80) {
      bytes.push_back(text[i]);
      continue;
    }
    // BytesToText writes only U+0080 to U+00FF besides ASCII: two bytes, the
    // first of them 0xC2 or 0xC3.
    if ((lead != 0xC2 && lead != 0xC3) || i + 1 == text.size()) {
      return std::nullopt;
    }
    const auto next = static_cast<unsigned char>(text[++i]);
    bytes.push_back(static_cast<char>(((lead & 0x03U) << 6U) | (next & 0x3FU)));
  }
  return bytes;
}

// Exact for the part of the text that is valid JSON.
bool IsNestedTooDeeply(std::string_view text) {
  std::size_t levels = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') {
        ++i;
      }
      in_string = character != '"';
    } else if (character == '"') {
      in_string = true;
    } else if (character == '[' || character == '{') {
      if (++levels > kMaxJsonNesting) {
        return true;
      }
    } else if ((character == ']' || character == '}') && levels > 0) {
      --levels;
    }
  }
  return false;
}

}  // namespace

std::optional<json> ParseJson(std::string_view text) {
  if (text.size() > kMaxPayloadBytes || IsNestedTooDeeply(text)) {
    return std::nullopt;
  }
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const json* FindField(const json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

std::optional<std::int64_t> FindIntegerField(const json& object,
                                             const char* name) {
  const json* field = FindField(object, name);
  if (field == nullptr || !field->is_number_integer()) {
    return std::nullopt;
  }
  if (field->is_number_unsigned() &&
      field->get<std::uint64_t>() >
          static_cast<std::uint64_t>(
              std::numeric_limits<std::int64_t>::max())) {
    return std::nullopt;
  }
  return field->get<std::int64_t>();
}

std::optional<std::uint64_t> FindUnsignedField(const json& object,
                                               const char* name) {
  const json* field = FindField(object, name);
  if (field == nullptr || !field->is_number_integer()) {
    return std::nullopt;
  }
  if (!field->is_number_unsigned() && field->get<std::int64_t>() < 0) {
    return std::nullopt;
  }
  return field->get<std::uint64_t>();
}

std::optional<double> FindNumberField(const json& object, const char* name) {
  const json* field = FindField(object, name);
  if (field == nullptr || !field->is_number()) {
    return std::nullopt;
  }
  return field->get<double>();
}

std::optional<bool> FindBoolField(const json& object, const char* name) {
  const json* field = FindField(object, name);
  if (field == nullptr || !field->is_boolean()) {
    return std::nullopt;
  }
  return field->get<bool>();
}

std::optional<std::string> FindStringField(const json& object,
                                           const char* name) {
  const json* field = FindField(object, name);
  if (field == nullptr || !field->is_string()) {
    return std::nullopt;
  }
  return field->get<std::string>();
}

std::string BytesToText(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text.push_back(c);
    } else {
      text.push_back(static_cast<char>(0xC0U | (byte >> 6U)));
      text.push_back(static_cast<char>(0x80U | (byte & 0x3FU)));
    }
  }
  return text;
}

std::optional<std::string> FindBytesField(const json& object,
                                          const char* name) {
  const std::optional<std::string> text = FindStringField(object, name);
  if (!text) {
    return std::nullopt;
  }
  return TextToBytes(*text);
}

}  // namespace toucanhollow
