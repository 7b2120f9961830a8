// Reads and prints TCP addresses. Names are refused, because hosts have no
// resolver that they could rely on.
#ifndef SETTINGS_PARSE_ADDRESS_H_
#define SETTINGS_PARSE_ADDRESS_H_

#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"

namespace toucanhollow {

// Reads "127.0.0.1:8080". Fails with kSettingsInvalid. Port 0 is accepted and
// lets the system choose.
Result<Address> ParseAddress(std::string_view text);

std::string FormatAddress(const Address& address);

}  // namespace toucanhollow

#endif  // SETTINGS_PARSE_ADDRESS_H_
