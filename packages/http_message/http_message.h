// Headers, query parameters and number parsing shared by the HTTP server and
// client.
#ifndef HTTP_MESSAGE_HTTP_MESSAGE_H_
#define HTTP_MESSAGE_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanhollow {

struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

enum class StatusClass {
  kInterim,
  kFinal,
  // No status of HTTP, or 101, which no request here asks for.
  kInvalid,
};

StatusClass ClassifyStatus(int status);

// Returns true if the names are equal ignoring case.
bool IsSameHeaderName(std::string_view left, std::string_view right);

// Returns the value of the first header with this name, ignoring case, or an
// empty view if there is none.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// Returns the percent-decoded value of the parameter `name` in a query such as
// "a=1&b=2", if present.
std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name);

// Parses the whole text as a signed decimal number. Returns nothing if it
// contains any other character or the number does not fit in 64 bits.
std::optional<std::int64_t> ParseDecimal(std::string_view text);

// Percent-encodes all bytes except the unreserved characters of RFC 3986.
std::string PercentEncode(std::string_view text);

}  // namespace toucanhollow

#endif  // HTTP_MESSAGE_HTTP_MESSAGE_H_
