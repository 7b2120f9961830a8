// Callers for measurements: a fixed number of concurrent requests against an
// entry host, each followed by the next. They are streamed completions, or
// keyed calls of a plain service.
#include <algorithm>
#include <iostream>
#include <vector>

#include <gflags/gflags.h>

#include "event_loop/event_loop.h"
#include "http_client/http_client.h"

DEFINE_string(entry_host, "", "<IP address>:<port> of the entry host");
DEFINE_string(account, "band-secretaries", "client account");
DEFINE_string(model, "drafting", "model group to ask");
DEFINE_string(service, "", "plain service to call with keys instead");
DEFINE_int32(concurrent, 8, "requests in flight");
DEFINE_int32(tokens, 32, "tokens of each answer");
DEFINE_double(seconds, 5, "time after which no request is started");
DEFINE_bool(hold, false, "keep the streams open until the end, then leave");

namespace toucanhollow {
namespace {

struct Tally {
  std::int64_t started = 0;
  std::int64_t whole = 0;
  std::int64_t failed = 0;
  std::int64_t chunks = 0;
  std::vector<double> first_ms;
  std::vector<double> gap_ms;
};

class Callers {
 public:
  explicit Callers(EventLoop& event_loop)
      : loop(event_loop),
        client(event_loop),
        end_at(EventLoop::Now() +
               Duration(static_cast<std::int64_t>(FLAGS_seconds * 1e6))) {
    for (int i = 0; i < FLAGS_concurrent; ++i) {
      this->Begin();
    }
  }

  Tally tally;

 private:
  struct Stream {
    TimePoint begun;
    TimePoint last;
    bool any = false;
    bool done = false;
    std::string tail;
  };

  void Begin() {
    const auto stream = std::make_shared<Stream>();
    stream->begun = EventLoop::Now();
    ++this->open;
    ++this->tally.started;
    HttpCall call = this->MakeCall();
    call.repeatable = true;
    call.max_response_bytes = std::size_t{1} << 30;
    call.total_timeout = Duration(0);
    HttpCallbacks callbacks;
    callbacks.on_data = [this, stream](std::string_view bytes) {
      this->OnData(*stream, bytes);
    };
    callbacks.on_done = [this, stream](const HttpOutcome& outcome) {
      this->OnDone(*stream, outcome);
    };
    this->client.Start(std::move(call), std::move(callbacks));
  }

  HttpCall MakeCall() const {
    const std::string number = std::to_string(this->tally.started);
    HttpCall call;
    call.method = "POST";
    call.headers = {{"X-Client-Account", FLAGS_account}};
    if (!FLAGS_service.empty()) {
      const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          EventLoop::WallNow().time_since_epoch());
      call.url =
          "http://" + FLAGS_entry_host + "/services/" + FLAGS_service + "/fees";
      call.headers.push_back(
          {"Idempotency-Key", std::to_string(now_ms.count()) + "-" + number});
      call.body = "fee " + number;
      return call;
    }
    call.url = "http://" + FLAGS_entry_host + "/v1/completions";
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = "{\"model\":\"" + FLAGS_model +
                "\",\"stream\":true,\"prompt\":\"question " + number +
                "\",\"max_tokens\":" + std::to_string(FLAGS_tokens) + "}";
    return call;
  }

  void OnData(Stream& stream, std::string_view bytes) {
    const TimePoint now = EventLoop::Now();
    auto& times = stream.any ? this->tally.gap_ms : this->tally.first_ms;
    times.push_back(
        ToMilliseconds(now - (stream.any ? stream.last : stream.begun)));
    stream.any = true;
    stream.last = now;
    // Pieces of events at a border between reads are counted once.
    stream.tail.append(bytes);
    std::size_t at = 0;
    while ((at = stream.tail.find("\n\n")) != std::string::npos) {
      ++this->tally.chunks;
      stream.done = stream.tail.starts_with("data: [DONE]");
      stream.tail.erase(0, at + 2);
    }
  }

  void OnDone(const Stream& stream, const HttpOutcome& outcome) {
    --this->open;
    const bool whole = outcome.end == HttpEnd::kComplete &&
                       outcome.status == 200 &&
                       (stream.done || !FLAGS_service.empty());
    ++(whole ? this->tally.whole : this->tally.failed);
    if (EventLoop::Now() < this->end_at) {
      this->Begin();
    } else if (this->open == 0) {
      this->loop.Stop();
    }
  }

  EventLoop& loop;
  HttpClient client;
  TimePoint end_at;
  int open = 0;
};

double Percentile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      part * static_cast<double>(values.size() - 1))];
}

void Run() {
  EventLoop loop;
  const TimePoint begun = EventLoop::Now();
  Callers callers(loop);
  std::unique_ptr<Timer> leave;
  if (FLAGS_hold) {
    leave = std::make_unique<Timer>(
        loop, Duration(static_cast<std::int64_t>(FLAGS_seconds * 1e6)),
        Duration(0), [&] { loop.Stop(); });
  }
  loop.Run();
  Tally& tally = callers.tally;
  std::cout << "seconds " << ToMilliseconds(EventLoop::Now() - begun) / 1000
            << "\nstarted " << tally.started << "\nwhole " << tally.whole
            << "\nfailed " << tally.failed << "\nchunks " << tally.chunks
            << "\nfirst_p50_ms " << Percentile(tally.first_ms, 0.5)
            << "\nfirst_p95_ms " << Percentile(tally.first_ms, 0.95)
            << "\ngap_p95_ms " << Percentile(tally.gap_ms, 0.95) << std::endl;
}

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  toucanhollow::Run();
  return 0;
}
