#include "http_stream/write_message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Expect"};

void AppendHeaders(std::string& text, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  text += "\r\n";
}

// Returns the header names listed in the value of a "Connection" header.
std::vector<std::string> ParseListedNames(std::string_view value) {
  std::vector<std::string> names;
  std::string name;
  for (const char character : std::string(value) + ",") {
    if (character == ',') {
      if (!name.empty()) {
        names.push_back(std::exchange(name, {}));
      }
    } else if (character != ' ' && character != '\t') {
      name += character;
    }
  }
  return names;
}

}  // namespace

std::string WriteRequestHead(std::string_view method,
                             std::string_view target,
                             const HttpHeaders& headers) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(text, headers);
  return text;
}

std::string WriteResponseHead(int status,
                              std::string_view reason,
                              const HttpHeaders& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(reason.empty() ? ReasonPhrase(status) : reason).append("\r\n");
  AppendHeaders(text, headers);
  return text;
}

std::string WriteChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), 16);
  std::string text(digits.data(), end.ptr);
  text.append("\r\n").append(bytes).append("\r\n");
  return text;
}

std::string_view LastChunk() {
  return "0\r\n\r\n";
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

HttpHeaders RemoveHopByHopHeaders(const HttpHeaders& headers) {
  std::vector<std::string> removed_names(kHopByHopHeaders.begin(),
                                         kHopByHopHeaders.end());
  for (const HttpHeader& header : headers) {
    if (IsSameHeaderName(header.name, "Connection")) {
      for (std::string& name : ParseListedNames(header.value)) {
        removed_names.push_back(std::move(name));
      }
    }
  }
  HttpHeaders remaining;
  for (const HttpHeader& header : headers) {
    const bool is_removed = std::ranges::any_of(
        removed_names,
        [&](const auto& name) { return IsSameHeaderName(header.name, name); });
    if (!is_removed) {
      remaining.push_back(header);
    }
  }
  return remaining;
}

}  // namespace toucanhollow
