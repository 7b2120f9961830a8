#include "http_message/body_framing.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "base/trim.h"

namespace toucanhollow {
namespace {

constexpr std::string_view kChunked = "chunked";
// Each number of so many digits fits into 63 bits.
constexpr std::size_t kMaxLengthDigits = 18;

std::vector<std::string_view> FindValues(const HttpHeaders& headers,
                                         std::string_view name) {
  std::vector<std::string_view> values;
  for (const HttpHeader& header : headers) {
    if (IsSameHeaderName(header.name, name)) {
      values.push_back(header.value);
    }
  }
  return values;
}

bool IsLength(std::string_view value) {
  return !value.empty() && value.size() <= kMaxLengthDigits &&
         std::ranges::all_of(value,
                             [](char c) { return c >= '0' && c <= '9'; });
}

std::vector<std::string_view> SplitList(
    const std::vector<std::string_view>& values) {
  std::vector<std::string_view> elements;
  for (std::string_view value : values) {
    while (true) {
      const std::size_t comma = value.find(',');
      elements.push_back(Trim(value.substr(0, comma)));
      if (comma == std::string_view::npos) {
        break;
      }
      value.remove_prefix(comma + 1);
    }
  }
  return elements;
}

// `values` must not be empty.
BodyFraming CheckCodings(const std::vector<std::string_view>& values) {
  const std::vector<std::string_view> codings = SplitList(values);
  const auto is_chunked = [](std::string_view coding) {
    return IsSameHeaderName(coding, kChunked);
  };
  // RFC 9110, 5.6.1, has recipients ignore empty elements. No sender may
  // generate them, and programs disagree on whether "chunked," ends with
  // "chunked", so they are refused.
  const bool any_empty = std::ranges::any_of(codings, &std::string_view::empty);
  if (any_empty || !is_chunked(codings.back()) ||
      std::ranges::count_if(codings, is_chunked) != 1) {
    return BodyFraming::kAmbiguous;
  }
  return codings.size() == 1 ? BodyFraming::kClear
                             : BodyFraming::kUnknownCoding;
}

}  // namespace

BodyFraming CheckRequestFraming(const HttpHeaders& headers, bool is_http_1_0) {
  const auto lengths = FindValues(headers, "Content-Length");
  if (lengths.size() > 1 || (lengths.size() == 1 && !IsLength(lengths[0]))) {
    return BodyFraming::kAmbiguous;
  }
  return CheckResponseFraming(headers, is_http_1_0);
}

BodyFraming CheckResponseFraming(const HttpHeaders& headers, bool is_http_1_0) {
  const auto codings = FindValues(headers, "Transfer-Encoding");
  if (codings.empty()) {
    return BodyFraming::kClear;
  }
  if (is_http_1_0 || !FindValues(headers, "Content-Length").empty()) {
    return BodyFraming::kAmbiguous;
  }
  return CheckCodings(codings);
}

}  // namespace toucanhollow
