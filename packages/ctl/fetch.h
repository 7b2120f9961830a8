// One HTTP call that is waited for, for command line tools.
#ifndef CTL_FETCH_H_
#define CTL_FETCH_H_

#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "http_client/http_call.h"

namespace toucanhollow {

// Runs the calls at the same time and returns their outcomes in order.
std::vector<HttpOutcome> FetchAll(const std::vector<HttpCall>& calls);

// GET of a path at each address, with a bound of 5 s.
std::vector<HttpOutcome> FetchPath(const std::vector<Address>& addresses,
                                   const std::string& path);

// Reads "ip:port,ip:port". Code: kSettingsInvalid.
Result<std::vector<Address>> ParseAddressList(const std::string& text);

}  // namespace toucanhollow

#endif  // CTL_FETCH_H_
