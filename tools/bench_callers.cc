// Closed-loop load generator: keeps a fixed number of requests in flight
// against an entry host. The requests are streamed completions, or calls of a
// plain service with idempotency keys.
#include <algorithm>
#include <iostream>
#include <vector>

#include <gflags/gflags.h>

#include "event_loop/event_loop.h"
#include "http_client/http_client.h"

DEFINE_string(entry_host, "", "<IP address>:<port> of the entry host");
DEFINE_string(account, "band-secretaries", "client account");
DEFINE_string(model, "drafting", "model group that the completions ask for");
DEFINE_string(service,
              "",
              "plain service to call with idempotency keys instead");
DEFINE_int32(concurrent, 8, "number of requests in flight");
DEFINE_int32(tokens, 32, "maximum number of output tokens of each completion");
DEFINE_double(seconds, 5, "time after which no request is started, in seconds");
DEFINE_bool(hold,
            false,
            "stop after --seconds without waiting for the open streams to end");

namespace toucanhollow {
namespace {

struct Tally {
  std::int64_t started = 0;
  std::int64_t complete = 0;
  std::int64_t failed = 0;
  std::int64_t chunks = 0;
  std::vector<double> first_ms;
  std::vector<double> gap_ms;
};

class LoadGenerator {
 public:
  explicit LoadGenerator(EventLoop& event_loop)
      : loop(event_loop),
        client(event_loop),
        end_at(EventLoop::Now() +
               Duration(static_cast<std::int64_t>(FLAGS_seconds * 1e6))) {
    for (int i = 0; i < FLAGS_concurrent; ++i) {
      this->StartRequest();
    }
  }

  Tally tally;

 private:
  struct Stream {
    TimePoint started_at;
    TimePoint last_data_at;
    bool has_data = false;
    bool end_seen = false;
    std::string unparsed;
  };

  void StartRequest() {
    const auto stream = std::make_shared<Stream>();
    stream->started_at = EventLoop::Now();
    ++this->in_flight;
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
    const std::string request_number = std::to_string(this->tally.started);
    HttpCall call;
    call.method = "POST";
    call.headers = {{"X-Client-Account", FLAGS_account}};
    if (!FLAGS_service.empty()) {
      const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          EventLoop::WallNow().time_since_epoch());
      call.url =
          "http://" + FLAGS_entry_host + "/services/" + FLAGS_service + "/fees";
      call.headers.push_back(
          {"Idempotency-Key",
           std::to_string(now_ms.count()) + "-" + request_number});
      call.body = "fee " + request_number;
      return call;
    }
    call.url = "http://" + FLAGS_entry_host + "/v1/completions";
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = "{\"model\":\"" + FLAGS_model +
                "\",\"stream\":true,\"prompt\":\"question " + request_number +
                "\",\"max_tokens\":" + std::to_string(FLAGS_tokens) + "}";
    return call;
  }

  void OnData(Stream& stream, std::string_view bytes) {
    const TimePoint now = EventLoop::Now();
    auto& times = stream.has_data ? this->tally.gap_ms : this->tally.first_ms;
    times.push_back(ToMilliseconds(
        now - (stream.has_data ? stream.last_data_at : stream.started_at)));
    stream.has_data = true;
    stream.last_data_at = now;
    // An event that is split over several reads is counted once.
    stream.unparsed.append(bytes);
    std::size_t offset = 0;
    while ((offset = stream.unparsed.find("\n\n")) != std::string::npos) {
      ++this->tally.chunks;
      stream.end_seen = stream.unparsed.starts_with("data: [DONE]");
      stream.unparsed.erase(0, offset + 2);
    }
  }

  void OnDone(const Stream& stream, const HttpOutcome& outcome) {
    --this->in_flight;
    const bool complete = outcome.end == HttpEnd::kComplete &&
                          outcome.status == 200 &&
                          (stream.end_seen || !FLAGS_service.empty());
    ++(complete ? this->tally.complete : this->tally.failed);
    if (EventLoop::Now() < this->end_at) {
      this->StartRequest();
    } else if (this->in_flight == 0) {
      this->loop.Stop();
    }
  }

  EventLoop& loop;
  HttpClient client;
  TimePoint end_at;
  int in_flight = 0;
};

double Percentile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1))];
}

void Run() {
  EventLoop loop;
  const TimePoint started_at = EventLoop::Now();
  LoadGenerator generator(loop);
  std::unique_ptr<Timer> stop_timer;
  if (FLAGS_hold) {
    stop_timer = std::make_unique<Timer>(
        loop, Duration(static_cast<std::int64_t>(FLAGS_seconds * 1e6)),
        Duration(0), [&] { loop.Stop(); });
  }
  loop.Run();
  Tally& tally = generator.tally;
  std::cout << "seconds "
            << ToMilliseconds(EventLoop::Now() - started_at) / 1000
            << "\nstarted " << tally.started << "\nwhole " << tally.complete
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
