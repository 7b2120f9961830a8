// Reads CBOR that came from outside this process.
#ifndef CBOR_READ_CBOR_H_
#define CBOR_READ_CBOR_H_

#include <string_view>

#include <nlohmann/json.hpp>

#include "base/result.h"

namespace toucanhollow {

// Messages nest at most a few levels.
inline constexpr int kMaxCborNesting = 16;

// The one value that the bytes are. Fails with kFrameMalformed if they are no
// CBOR, go on after the value, or nest deeper than kMaxCborNesting: the library
// recurses once for each level, which would overflow the stack.
Result<nlohmann::json> ReadCbor(std::string_view bytes);

}  // namespace toucanhollow

#endif  // CBOR_READ_CBOR_H_
