// Parts of HTTP messages that the HTTP server and client share.
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

// The first header of this name in any case, or an empty view.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// The decoded value of a query parameter ("a=1&b=2"), if present.
std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name);

// The whole text as a decimal number, if it is one.
std::optional<std::int64_t> ParseDecimal(std::string_view text);

// Percent-encodes all but unreserved characters.
std::string PercentEncode(std::string_view text);

}  // namespace toucanhollow

#endif  // HTTP_MESSAGE_HTTP_MESSAGE_H_
