// Load generator of scripts/bench_path. Measures the path through an entry host
// beside direct calls of the stand-ins, in the same run.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <gflags/gflags.h>

#include "engine_api/engine_codec.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"

DEFINE_string(entry, "", "address of the entry host");
DEFINE_string(engine, "", "address of the engine stand-in");
DEFINE_string(service, "", "address of the service stand-in");
DEFINE_int32(entry_pid, 0, "process of the entry host");
DEFINE_int32(agent_pid, 0, "process of the engine's agent");
DEFINE_string(account, "bench", "client account");
DEFINE_int32(seconds, 5, "length of each part");
DEFINE_int32(streams, 64, "concurrent streams of the throughput part");
DEFINE_int32(stream_tokens, 200, "tokens of each of these streams");
DEFINE_int32(open_streams, 1000, "streams of the memory part");

namespace toucanhollow {
namespace {

constexpr int kMaxPlainInFlight = 32;
constexpr char kPrompt[] = "a short prompt";
// Two models on two engines: one that is fast enough to load the entry host,
// and one whose streams stay open.
constexpr char kFastModel[] = "fast";
constexpr char kSlowModel[] = "slow";

// User and system time of a process in seconds.
double CpuSeconds(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  // The state is the first field here; utime and stime are 12th and 13th.
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> skipped >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMegabytes(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double Percentile(std::vector<double> samples, double part) {
  if (samples.empty()) {
    return 0;
  }
  std::ranges::sort(samples);
  const auto index =
      static_cast<std::size_t>(part * static_cast<double>(samples.size() - 1));
  return samples[index];
}

struct Bench {
  EventLoop loop;
  HttpClient client{loop};
  std::uint64_t started = 0;

  HttpCall PlainRead(bool direct) const;
  HttpCall Completion(bool direct, const std::string& model, int tokens) const;
  void RunFor(Duration time);
};

HttpCall Bench::PlainRead(bool direct) const {
  HttpCall call;
  call.url = "http://" + (direct ? FLAGS_service : FLAGS_entry) +
             (direct ? "/read" : "/services/plain/read");
  call.headers = {{"X-Client-Account", FLAGS_account}};
  call.repeatable = true;
  return call;
}

HttpCall Bench::Completion(bool direct,
                           const std::string& model,
                           int tokens) const {
  HttpCall call;
  call.method = "POST";
  call.url =
      "http://" + (direct ? FLAGS_engine : FLAGS_entry) + "/v1/completions";
  call.headers = {{"X-Client-Account", FLAGS_account},
                  {"Content-Type", "application/json"}};
  call.total_timeout = Seconds(600);
  call.max_response_bytes = std::size_t{64} << 20;
  call.repeatable = true;
  if (direct) {
    EngineRequest request;
    request.id = "bench-" + std::to_string(this->started);
    request.model = model;
    request.prompt = kPrompt;
    request.max_tokens = tokens;
    call.body = EncodeEngineRequest(request);
  } else {
    call.headers.push_back({"X-Request-Deadline-Ms", "600000"});
    call.body = "{\"model\":\"" + model + "\",\"prompt\":\"" + kPrompt +
                "\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens) +
                "}";
  }
  return call;
}

void Bench::RunFor(Duration time) {
  const Timer stop(this->loop, time, Duration(0),
                   [this] { this->loop.Stop(); });
  this->loop.Run();
}

struct Count {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t events = 0;
};

std::uint64_t CountEvents(std::string_view bytes) {
  std::uint64_t count = 0;
  for (std::size_t at = bytes.find("data: "); at != std::string_view::npos;
       at = bytes.find("data: ", at + 1)) {
    ++count;
  }
  return count;
}

// Keeps `concurrent` calls going for the time.
Count KeepBusy(Bench& bench,
               int concurrent,
               Duration time,
               const std::function<HttpCall()>& make) {
  Count count;
  bool stopping = false;
  int open = 0;
  std::function<void()> start = [&] {
    ++open;
    ++bench.started;
    HttpCallbacks callbacks;
    callbacks.on_data = [&count](std::string_view bytes) {
      count.events += CountEvents(bytes);
    };
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      --open;
      const bool good =
          outcome.end == HttpEnd::kComplete && outcome.status == 200;
      count.answered += good ? 1 : 0;
      count.failed += good ? 0 : 1;
      if (!stopping) {
        start();
      } else if (open == 0) {
        bench.loop.Stop();
      }
    };
    bench.client.Start(make(), std::move(callbacks));
  };
  for (int i = 0; i < concurrent; ++i) {
    start();
  }
  const Timer stop(bench.loop, time, Duration(0), [&] { stopping = true; });
  bench.loop.Run();
  return count;
}

struct Latencies {
  std::vector<double> direct;
  std::vector<double> through;
  std::uint64_t failed = 0;
};

// Starts calls at a fixed rate, in turn directly and through the entry host.
// `first_byte` measures to the first byte of the body, else to its end.
Latencies MeasureLatency(Bench& bench,
                         double rate,
                         Duration time,
                         bool first_byte,
                         const std::function<HttpCall(bool direct)>& make) {
  Latencies latencies;
  std::uint64_t turn = 0;
  const Duration interval(static_cast<std::int64_t>(1e6 / rate));
  const auto begin = [&] {
    const bool direct = turn++ % 2 == 0;
    ++bench.started;
    const TimePoint sent = EventLoop::Now();
    auto measured = std::make_shared<bool>(false);
    auto& samples = direct ? latencies.direct : latencies.through;
    const auto measure = [&samples, measured, sent] {
      if (!std::exchange(*measured, true)) {
        samples.push_back(ToMilliseconds(EventLoop::Now() - sent));
      }
    };
    HttpCallbacks callbacks;
    if (first_byte) {
      callbacks.on_data = [measure](std::string_view) { measure(); };
    }
    callbacks.on_done = [&latencies, measure](const HttpOutcome& outcome) {
      if (outcome.end == HttpEnd::kComplete && outcome.status == 200) {
        measure();
      } else {
        ++latencies.failed;
      }
    };
    bench.client.Start(make(direct), std::move(callbacks));
  };
  {
    const Timer timer(bench.loop, Duration(0), interval, begin);
    bench.RunFor(time);
  }
  bench.RunFor(Seconds(1));
  return latencies;
}

void PrintLatency(const char* name, const Latencies& latencies) {
  for (const double part : {0.5, 0.99}) {
    const double direct = Percentile(latencies.direct, part);
    const double through = Percentile(latencies.through, part);
    std::printf("%s_p%.0f_ms direct=%.3f through=%.3f added=%.3f\n", name,
                part * 100, direct, through, through - direct);
  }
  std::printf("%s_calls direct=%zu through=%zu failed=%lu\n", name,
              latencies.direct.size(), latencies.through.size(),
              latencies.failed);
}

void WarmUp(Bench& bench) {
  // Agents start cold and at most double their limit in a second.
  const Count plain = KeepBusy(bench, kMaxPlainInFlight, Seconds(3),
                               [&] { return bench.PlainRead(false); });
  const Count streams = KeepBusy(bench, FLAGS_open_streams, Seconds(12), [&] {
    return bench.Completion(false, kFastModel, 2);
  });
  std::printf("warm_up plain=%lu/%lu streams=%lu/%lu (answered/failed)\n",
              plain.answered, plain.failed, streams.answered, streams.failed);
}

double MeasurePlain(Bench& bench) {
  const double before = CpuSeconds(FLAGS_entry_pid);
  const Count count = KeepBusy(bench, kMaxPlainInFlight, Seconds(FLAGS_seconds),
                               [&] { return bench.PlainRead(false); });
  const double cpu = CpuSeconds(FLAGS_entry_pid) - before;
  const auto answered = static_cast<double>(count.answered);
  std::printf("plain_requests_per_entry_core %.0f\n", answered / cpu);
  std::printf("plain_requests_per_s %.0f failed=%lu entry_cpu_s=%.2f\n",
              answered / FLAGS_seconds, count.failed, cpu);
  return answered / FLAGS_seconds;
}

void MeasureTokens(Bench& bench) {
  const double entry_before = CpuSeconds(FLAGS_entry_pid);
  const double agent_before = CpuSeconds(FLAGS_agent_pid);
  const TimePoint begin = EventLoop::Now();
  const Count count = KeepBusy(
      bench, FLAGS_streams, Seconds(FLAGS_seconds),
      [&] { return bench.Completion(false, kFastModel, FLAGS_stream_tokens); });
  const double seconds = ToMilliseconds(EventLoop::Now() - begin) / 1000;
  const double entry = CpuSeconds(FLAGS_entry_pid) - entry_before;
  const double agent = CpuSeconds(FLAGS_agent_pid) - agent_before;
  // Two events of each stream are its end.
  const double tokens = static_cast<double>(count.events) -
                        2.0 * static_cast<double>(count.answered);
  std::printf("tokens_per_entry_core %.0f\n", tokens / entry);
  std::printf("tokens_per_agent_core %.0f\n", tokens / agent);
  std::printf("tokens_per_s %.0f streams=%lu failed=%lu\n", tokens / seconds,
              count.answered, count.failed);
}

void MeasureMemory(Bench& bench) {
  const Count warm_up = KeepBusy(bench, FLAGS_open_streams, Seconds(20), [&] {
    return bench.Completion(false, kSlowModel, 8);
  });
  std::printf("slow_model_warm_up answered=%lu failed=%lu\n", warm_up.answered,
              warm_up.failed);
  const double entry_before = ResidentMegabytes(FLAGS_entry_pid);
  const double agent_before = ResidentMegabytes(FLAGS_agent_pid);
  int ended = 0;
  int begun = 0;
  std::uint64_t failed = 0;
  for (int i = 0; i < FLAGS_open_streams; ++i) {
    ++bench.started;
    auto first = std::make_shared<bool>(true);
    HttpCallbacks callbacks;
    callbacks.on_data = [&begun, first](std::string_view) {
      begun += std::exchange(*first, false) ? 1 : 0;
    };
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      failed +=
          outcome.end == HttpEnd::kComplete && outcome.status == 200 ? 0 : 1;
      if (++ended == FLAGS_open_streams) {
        bench.loop.Stop();
      }
    };
    bench.client.Start(bench.Completion(false, kSlowModel, 2000),
                       std::move(callbacks));
  }
  double entry_open = 0;
  double agent_open = 0;
  int begun_then = 0;
  const Timer sample(bench.loop, Seconds(4), Duration(0), [&] {
    entry_open = ResidentMegabytes(FLAGS_entry_pid);
    agent_open = ResidentMegabytes(FLAGS_agent_pid);
    begun_then = begun - ended;
    bench.loop.Stop();
  });
  bench.loop.Run();
  std::printf(
      "memory_mb entry_before=%.1f entry=%.1f agent_before=%.1f "
      "agent=%.1f open_streams=%d failed=%lu\n",
      entry_before, entry_open, agent_before, agent_open, begun_then, failed);
}

void MeasureIdle(Bench& bench) {
  const double entry_before = CpuSeconds(FLAGS_entry_pid);
  const double agent_before = CpuSeconds(FLAGS_agent_pid);
  const int seconds = 2 * FLAGS_seconds;
  bench.RunFor(Seconds(seconds));
  std::printf("idle_cpu_percent entry=%.2f agent=%.2f\n",
              100 * (CpuSeconds(FLAGS_entry_pid) - entry_before) / seconds,
              100 * (CpuSeconds(FLAGS_agent_pid) - agent_before) / seconds);
}

int Main() {
  Bench bench;
  MeasureIdle(bench);
  WarmUp(bench);
  const double plain_rate = MeasurePlain(bench);
  MeasureTokens(bench);
  PrintLatency(
      "plain_quarter_load",
      MeasureLatency(bench, plain_rate / 2, Seconds(FLAGS_seconds), false,
                     [&](bool direct) { return bench.PlainRead(direct); }));
  PrintLatency(
      "plain_half_load",
      MeasureLatency(bench, plain_rate, Seconds(FLAGS_seconds), false,
                     [&](bool direct) { return bench.PlainRead(direct); }));
  PrintLatency("first_token", MeasureLatency(bench, 100, Seconds(FLAGS_seconds),
                                             true, [&](bool direct) {
                                               return bench.Completion(
                                                   direct, kFastModel, 4);
                                             }));
  MeasureMemory(bench);
  // Open streams end with this process.
  return 0;
}

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return toucanhollow::Main();
}
