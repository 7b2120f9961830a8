// Blocking HTTP calls for command line tools.
#ifndef CTL_FETCH_H_
#define CTL_FETCH_H_

#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "http_client/http_call.h"

namespace toucanhollow {

// Runs the calls concurrently, blocks until all have ended, and returns their
// outcomes in the order of `calls`.
std::vector<HttpOutcome> FetchAll(const std::vector<HttpCall>& calls);

// Sends GET `path` to each address, with a timeout of 5 s, and returns the
// outcomes in the order of `addresses`.
std::vector<HttpOutcome> FetchPath(const std::vector<Address>& addresses,
                                   const std::string& path);

// Parses "ip:port,ip:port". Code: kSettingsInvalid.
Result<std::vector<Address>> ParseAddressList(const std::string& text);

}  // namespace toucanhollow

#endif  // CTL_FETCH_H_
