// A TCP address by number. Names are refused, because hosts have no resolver
// that they could rely on.
#ifndef SETTINGS_ADDRESS_H_
#define SETTINGS_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace toucanhollow {

struct Address {
  std::string ip;  // IPv4 dotted quad
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;
};

// Reads "127.0.0.1:8080". Fails with kSettingsInvalid. Port 0 is accepted and
// lets the system choose.
Result<Address> ParseAddress(std::string_view text);

std::string FormatAddress(const Address& address);

}  // namespace toucanhollow

#endif  // SETTINGS_ADDRESS_H_
