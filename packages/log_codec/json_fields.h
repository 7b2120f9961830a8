// Reading of JSON fields without exceptions, for the .cc files of this package
// only. A missing field and a field of another type both read as none.
#ifndef LOG_CODEC_JSON_FIELDS_H_
#define LOG_CODEC_JSON_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace toucanhollow {

// Longer payloads are not parsed.
constexpr std::size_t kMaxPayloadBytes = std::size_t{4} << 20;

// The parsed text, or none if it is not one JSON value.
std::optional<nlohmann::json> ParseJson(std::string_view text);

// Compact text. Invalid UTF-8 is replaced, never thrown out.
std::string DumpJson(const nlohmann::json& value);

// The member of an object, or null.
const nlohmann::json* FindField(const nlohmann::json& object, const char* name);

std::optional<std::int64_t> IntegerField(const nlohmann::json& object,
                                         const char* name);
std::optional<std::uint64_t> UnsignedField(const nlohmann::json& object,
                                           const char* name);
std::optional<double> NumberField(const nlohmann::json& object,
                                  const char* name);
std::optional<bool> BoolField(const nlohmann::json& object, const char* name);
std::optional<std::string> TextField(const nlohmann::json& object,
                                     const char* name);

// Arbitrary bytes as JSON text: byte N becomes code point N, because JSON text
// must be UTF-8 and answer bodies need not be. ASCII stays as it is.
std::string BytesToText(std::string_view bytes);
std::optional<std::string> BytesField(const nlohmann::json& object,
                                      const char* name);

}  // namespace toucanhollow

#endif  // LOG_CODEC_JSON_FIELDS_H_
