// Client of the list of live and leaving hosts that the platform serves. The
// list may be out of date.
#ifndef HOST_LIST_HOST_LIST_H_
#define HOST_LIST_HOST_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "host_list/listed_host.h"
#include "http_client/http_client.h"

namespace toucanhollow {

// Reads the list from the address, <IP address>:<port>. Fails with
// kSettingsUnreadable if the list cannot be fetched or decoded. The list is
// only advisory, so callers then keep the last list they read.
HttpCallId ReadHostList(
    HttpClient& client,
    const std::string& address,
    std::function<void(Result<std::vector<ListedHost>>)> done);

}  // namespace toucanhollow

#endif  // HOST_LIST_HOST_LIST_H_
