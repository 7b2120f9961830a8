// Client of the platform's list of live and leaving hosts. The list lags.
#ifndef HOST_LIST_HOST_LIST_H_
#define HOST_LIST_HOST_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "host_list/listed_host.h"
#include "http_client/http_client.h"

namespace toucanhollow {

// Reads the list from <IP address>:<port>. Fails with kSettingsUnreadable if
// it cannot be reached or read; the list is advice, so callers keep their last.
HttpCallId ReadHostList(
    HttpClient& client,
    const std::string& address,
    std::function<void(Result<std::vector<ListedHost>>)> done);

}  // namespace toucanhollow

#endif  // HOST_LIST_HOST_LIST_H_
