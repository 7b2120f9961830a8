// Client of the platform's rate-limited weight store. Its format: GET
// /weights/<name>?bytes=<n> streams the bytes; 429 with Retry-After in seconds
// is a refusal because of the rate limit. Only this package knows it.
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

// Reads and drops `bytes` bytes of a weight object, to measure what a move
// costs. Fails with kWeightStoreLimited (the detail names the wait) or with
// kEngineAnswerMalformed if the object came short.
HttpCallId FetchWeights(HttpClient& client,
                        const std::string& address,
                        const std::string& name,
                        std::int64_t bytes,
                        std::function<void(Result<WeightFetch>)> done);

}  // namespace toucanhollow

#endif  // WEIGHT_STORE_WEIGHT_STORE_H_
