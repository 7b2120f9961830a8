#include "settings/parse_address.h"

#include <arpa/inet.h>

#include <charconv>

#include "base/field_failure.h"

namespace toucanhollow {

Result<Address> ParseAddress(std::string_view text) {
  const auto fail = [&](std::string_view reason) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "\"" + QuoteText(text) + "\" " + std::string(reason) +
                           "; write an IPv4 address and port by number, for "
                           "example 127.0.0.1:8080");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return fail("has no port");
  }
  const std::string ip(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
    return fail("has no numeric address");
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size()) {
    return fail("has no valid port");
  }
  return Address{ip, port};
}

std::string FormatAddress(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace toucanhollow
