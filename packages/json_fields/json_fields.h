// Exception-free access to JSON fields, for .cc files.
// The Find functions return none both for a missing field and for a field of
// another type.
#ifndef JSON_FIELDS_JSON_FIELDS_H_
#define JSON_FIELDS_JSON_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace toucanhollow {

// Longer payloads are not parsed.
constexpr std::size_t kMaxPayloadBytes = std::size_t{4} << 20;

// Valid payloads have only a few nesting levels.
constexpr std::size_t kMaxJsonNesting = 64;

// Returns the parsed value, or none if the text is not exactly one JSON value,
// is longer than kMaxPayloadBytes or has more than kMaxJsonNesting levels: the
// library recurses once for each level when it writes or copies a value.
std::optional<nlohmann::json> ParseJson(std::string_view text);

// Returns compact JSON text. Replaces invalid UTF-8 with U+FFFD instead of
// throwing.
std::string DumpJson(const nlohmann::json& value);

// Returns the member, or null if there is none or `object` is not an object.
const nlohmann::json* FindField(const nlohmann::json& object, const char* name);

std::optional<std::int64_t> FindIntegerField(const nlohmann::json& object,
                                             const char* name);
std::optional<std::uint64_t> FindUnsignedField(const nlohmann::json& object,
                                               const char* name);
std::optional<double> FindNumberField(const nlohmann::json& object,
                                      const char* name);
std::optional<bool> FindBoolField(const nlohmann::json& object,
                                  const char* name);
std::optional<std::string> FindStringField(const nlohmann::json& object,
                                           const char* name);

// Encodes arbitrary bytes as UTF-8 text: byte N becomes code point N, because
// JSON text must be UTF-8 and answer bodies need not be. ASCII is unchanged.
std::string BytesToText(std::string_view bytes);
std::optional<std::string> FindBytesField(const nlohmann::json& object,
                                          const char* name);

}  // namespace toucanhollow

#endif  // JSON_FIELDS_JSON_FIELDS_H_
