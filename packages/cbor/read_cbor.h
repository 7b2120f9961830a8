// Decodes CBOR from untrusted sources.
#ifndef CBOR_READ_CBOR_H_
#define CBOR_READ_CBOR_H_

#include <string_view>

#include <nlohmann/json.hpp>

#include "base/result.h"

namespace toucanhollow {

// Valid messages have only a few nesting levels.
inline constexpr int kMaxCborNesting = 16;

// Lists and maps in one message. An empty map takes one byte of it and some 170
// in memory.
inline constexpr int kMaxCborContainers = 100'000;

// Decodes the bytes, which must be exactly one CBOR value. Fails with
// kFrameMalformed if they are not valid CBOR, if bytes follow the value, if
// they have kMaxCborNesting or more levels or more than kMaxCborContainers
// lists and maps, or if a string has an indefinite length: the library recurses
// once for each level and for each such string inside another one, which could
// overflow the stack.
Result<nlohmann::json> ReadCbor(std::string_view bytes);

}  // namespace toucanhollow

#endif  // CBOR_READ_CBOR_H_
