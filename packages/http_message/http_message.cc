#include "http_message/http_message.h"

#include <algorithm>
#include <charconv>

namespace toucanhollow {
namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

int HexDigitValue(char c) {
  const char lower = ToLower(c);
  if (lower >= '0' && lower <= '9') {
    return lower - '0';
  }
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() &&
        HexDigitValue(text[i + 1]) >= 0 && HexDigitValue(text[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexDigitValue(text[i + 1]) * 16 +
                                          HexDigitValue(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

}  // namespace

StatusClass ClassifyStatus(int status) {
  constexpr int kFirstInterim = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kFirstFinal = 200;
  constexpr int kLast = 599;
  if (status < kFirstInterim || status > kLast ||
      status == kSwitchingProtocols) {
    return StatusClass::kInvalid;
  }
  return status < kFirstFinal ? StatusClass::kInterim : StatusClass::kFinal;
}

bool IsSameHeaderName(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, ToLower, ToLower);
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (IsSameHeaderName(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return std::nullopt;
}

std::optional<std::int64_t> ParseDecimal(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                            (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                            c == '.' || c == '~';
    if (unreserved) {
      encoded.push_back(c);
    } else {
      const auto byte = static_cast<unsigned char>(c);
      encoded.push_back('%');
      encoded.push_back(kDigits[byte >> 4U]);
      encoded.push_back(kDigits[byte & 15U]);
    }
  }
  return encoded;
}

}  // namespace toucanhollow
