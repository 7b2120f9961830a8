#include "ctl/fetch.h"

#include <sstream>
#include <utility>

#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

constexpr Duration kFetchTimeout = Seconds(5);

}  // namespace

std::vector<HttpOutcome> FetchAll(const std::vector<HttpCall>& calls) {
  std::vector<HttpOutcome> outcomes(calls.size());
  if (calls.empty()) {
    return outcomes;
  }
  EventLoop loop;
  HttpClient client(loop);
  std::size_t pending = calls.size();
  for (std::size_t i = 0; i < calls.size(); ++i) {
    HttpCallbacks callbacks;
    callbacks.on_done = [&, i](HttpOutcome outcome) {
      outcomes[i] = std::move(outcome);
      if (--pending == 0) {
        loop.Stop();
      }
    };
    client.Start(calls[i], std::move(callbacks));
  }
  loop.Run();
  return outcomes;
}

std::vector<HttpOutcome> FetchPath(const std::vector<Address>& addresses,
                                   const std::string& path) {
  std::vector<HttpCall> calls;
  for (const Address& address : addresses) {
    HttpCall call;
    call.url = "http://" + FormatAddress(address) + path;
    call.total_timeout = kFetchTimeout;
    call.max_response_bytes = std::size_t{64} * 1024 * 1024;
    calls.push_back(call);
  }
  return FetchAll(calls);
}

Result<std::vector<Address>> ParseAddressList(const std::string& text) {
  std::vector<Address> addresses;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    BOOST_OUTCOME_TRY(address, ParseAddress(part));
    addresses.push_back(address);
  }
  if (addresses.empty()) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "the list of addresses is empty; write ip:port,ip:port");
  }
  return addresses;
}

}  // namespace toucanhollow
