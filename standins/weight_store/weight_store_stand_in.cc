#include "standins/weight_store/weight_store_stand_in.h"

#include <algorithm>
#include <string>

namespace toucanhollow {
namespace {

constexpr Duration kTick = Milliseconds(10);
// A reader that does not keep up gets no more until it has taken these bytes.
constexpr std::size_t kMaxBufferedBytes = std::size_t{1024} * 1024;

}  // namespace

WeightStoreStandIn::WeightStoreStandIn(EventLoop& loop,
                                       WeightStoreOptions options)
    : options(options),
      tick(std::make_unique<Timer>(loop, kTick, kTick, [this] {
        this->Send();
      })) {}

void WeightStoreStandIn::Send() {
  std::erase_if(this->fetches, [](const Fetch& fetch) {
    return fetch.writer->HasCallerDisconnected();
  });
  if (this->fetches.empty()) {
    return;
  }
  const auto share = std::max<std::int64_t>(
      1, this->options.bytes_per_s * kTick.count() / 1'000'000 /
             static_cast<std::int64_t>(this->fetches.size()));
  for (Fetch& fetch : this->fetches) {
    if (fetch.writer->BufferedBytes() < kMaxBufferedBytes) {
      const std::int64_t count = std::min(share, fetch.left);
      fetch.writer->Write(std::string(static_cast<std::size_t>(count), '\0'));
      fetch.left -= count;
    }
    if (fetch.left == 0) {
      fetch.writer->End();
    }
  }
  std::erase_if(this->fetches,
                [](const Fetch& fetch) { return fetch.left == 0; });
}

void WeightStoreStandIn::Handle(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  const std::int64_t bytes =
      ParseDecimal(QueryValue(request.query, "bytes").value_or(""))
          .value_or(-1);
  if (!request.path.starts_with("/weights/") || bytes < 0) {
    writer->Respond(404, {}, "");
  } else if (this->fetches.size() >= this->options.max_fetches) {
    writer->Respond(429, {{"Retry-After", "1"}}, "");
  } else {
    writer->Start(200, {});
    this->fetches.push_back({writer, bytes});
  }
}

}  // namespace toucanhollow
