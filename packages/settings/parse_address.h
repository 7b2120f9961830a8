// Parses and formats numeric TCP addresses. Host names are rejected, because
// hosts have no reliable resolver.
#ifndef SETTINGS_PARSE_ADDRESS_H_
#define SETTINGS_PARSE_ADDRESS_H_

#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"

namespace toucanhollow {

// Parses text such as "127.0.0.1:8080"; fails with kSettingsInvalid. Port 0
// is accepted; the operating system then chooses a port.
Result<Address> ParseAddress(std::string_view text);

std::string FormatAddress(const Address& address);

}  // namespace toucanhollow

#endif  // SETTINGS_PARSE_ADDRESS_H_
