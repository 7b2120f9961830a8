#include "host_list/host_list.h"

#include <utility>

#include "host_list/host_list_codec.h"

namespace toucanhollow {
namespace {

constexpr Duration kReadTimeout = Seconds(2);

}  // namespace

HttpCallId ReadHostList(
    HttpClient& client,
    const std::string& address,
    std::function<void(Result<std::vector<ListedHost>>)> done) {
  HttpCall call;
  call.url = "http://" + address + "/hosts";
  call.total_timeout = kReadTimeout;
  call.repeatable = true;
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done)](const HttpOutcome& outcome) {
    auto hosts = DecodeHostList(outcome.body);
    if (outcome.end == HttpEnd::kComplete && outcome.status == 200 &&
        hosts.has_value()) {
      done(*std::move(hosts));
    } else {
      done(MakeFailure(
          ResultCode::kSettingsUnreadable,
          "the host list cannot be fetched or decoded: " + outcome.error));
    }
  };
  return client.Start(std::move(call), std::move(callbacks));
}

}  // namespace toucanhollow
