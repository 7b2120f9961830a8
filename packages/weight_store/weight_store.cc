#include "weight_store/weight_store.h"

#include <memory>
#include <utility>

namespace toucanhollow {
namespace {

constexpr Duration kFetchTimeout = Seconds(600);
constexpr std::int64_t kMaxErrorBytes = 4096;

}  // namespace

HttpCallId FetchWeights(HttpClient& client,
                        const std::string& address,
                        const std::string& name,
                        std::int64_t bytes,
                        std::function<void(Result<WeightFetch>)> done) {
  HttpCall call;
  call.url = "http://" + address + "/weights/" + PercentEncode(name) +
             "?bytes=" + std::to_string(bytes);
  call.total_timeout = kFetchTimeout;
  call.max_response_bytes = static_cast<std::size_t>(bytes + kMaxErrorBytes);
  call.repeatable = true;
  auto received = std::make_shared<std::int64_t>(0);
  HttpCallbacks callbacks;
  callbacks.on_data = [received](std::string_view chunk) {
    *received += static_cast<std::int64_t>(chunk.size());
  };
  callbacks.on_done = [done = std::move(done), received, bytes,
                       start = EventLoop::Now()](const HttpOutcome& outcome) {
    if (outcome.status == 429) {
      done(MakeFailure(
          ResultCode::kWeightStoreLimited,
          "retry after " +
              std::string(FindHeader(outcome.headers, "Retry-After")) + " s"));
    } else if (outcome.end != HttpEnd::kComplete || outcome.status != 200 ||
               *received != bytes) {
      done(MakeFailure(ResultCode::kEngineAnswerMalformed,
                       "weight download incomplete: received " +
                           std::to_string(*received) + " of " +
                           std::to_string(bytes) + " bytes"));
    } else {
      done(WeightFetch{*received, EventLoop::Now() - start});
    }
  };
  return client.Start(std::move(call), std::move(callbacks));
}

}  // namespace toucanhollow
