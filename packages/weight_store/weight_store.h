// Client of the platform's rate-limited weight store. GET
// /weights/<name>?bytes=<n> streams the bytes; status 429 with Retry-After in
// seconds means that the rate limit is exceeded. No other package depends on
// this format.
#ifndef WEIGHT_STORE_WEIGHT_STORE_H_
#define WEIGHT_STORE_WEIGHT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/result.h"
#include "http_client/http_client.h"

namespace toucanhollow {

struct WeightFetch {
  std::int64_t bytes = 0;
  Duration elapsed{};
};

// Downloads and discards `bytes` bytes of a weight object, to measure the cost
// of moving weights. Fails with kWeightStoreLimited if the rate limit is
// exceeded (the detail gives the time to wait), or with kEngineAnswerMalformed
// if the download fails or does not have the requested size.
HttpCallId FetchWeights(HttpClient& client,
                        const std::string& address,
                        const std::string& name,
                        std::int64_t bytes,
                        std::function<void(Result<WeightFetch>)> done);

}  // namespace toucanhollow

#endif  // WEIGHT_STORE_WEIGHT_STORE_H_
