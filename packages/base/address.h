// A numeric TCP address.
#ifndef BASE_ADDRESS_H_
#define BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace toucanhollow {

struct Address {
  std::string ip;  // IPv4 dotted quad
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;
};

}  // namespace toucanhollow

#endif  // BASE_ADDRESS_H_
