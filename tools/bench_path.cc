// Load generator of scripts/bench_path. Measures calls through an entry host
// and direct calls of the stand-ins in the same run, to show what the entry
// host adds.
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
DEFINE_int32(entry_pid, 0, "process identifier of the entry host");
DEFINE_int32(agent_pid, 0, "process identifier of the engine's agent");
DEFINE_string(account, "bench", "client account");
DEFINE_int32(seconds, 5, "duration of each measurement in seconds");
DEFINE_int32(streams, 64, "concurrent streams in the throughput measurement");
DEFINE_int32(stream_tokens,
             200,
             "output tokens of each stream in the throughput measurement");
DEFINE_int32(open_streams,
             1000,
             "concurrent streams in the memory measurement");

namespace toucanhollow {
namespace {

constexpr int kMaxPlainInFlight = 32;
constexpr char kPrompt[] = "a short prompt";
// Two models on two engines: one generates tokens fast enough to load the entry
// host, the other slowly enough that its streams stay open.
constexpr char kFastModel[] = "fast";
constexpr char kSlowModel[] = "slow";

// Returns the user and system CPU time of a process in seconds.
double CpuSeconds(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string ignored;
  // After the command name, state is the 1st field, utime the 12th and stime
  // the 13th.
  for (int i = 0; i < 11; ++i) {
    fields >> ignored;
  }
  double user = 0;
  double system = 0;
  fields >> ignored >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMegabytes(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double Percentile(std::vector<double> samples, double fraction) {
  if (samples.empty()) {
    return 0;
  }
  std::ranges::sort(samples);
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(samples.size() - 1));
  return samples[index];
}

struct LoadClient {
  EventLoop loop;
  HttpClient client{loop};
  std::uint64_t started = 0;

  HttpCall PlainRead(bool direct) const;
  HttpCall Completion(bool direct, const std::string& model, int tokens) const;
  void RunFor(Duration time);
};

HttpCall LoadClient::PlainRead(bool direct) const {
  HttpCall call;
  call.url = "http://" + (direct ? FLAGS_service : FLAGS_entry) +
             (direct ? "/read" : "/services/plain/read");
  call.headers = {{"X-Client-Account", FLAGS_account}};
  call.repeatable = true;
  return call;
}

HttpCall LoadClient::Completion(bool direct,
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

void LoadClient::RunFor(Duration time) {
  const Timer stop(this->loop, time, Duration(0),
                   [this] { this->loop.Stop(); });
  this->loop.Run();
}

struct CallCounts {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t events = 0;
};

std::uint64_t CountEvents(std::string_view bytes) {
  std::uint64_t count = 0;
  for (std::size_t offset = bytes.find("data: ");
       offset != std::string_view::npos;
       offset = bytes.find("data: ", offset + 1)) {
    ++count;
  }
  return count;
}

// Keeps `concurrent` calls in flight for `time`, then waits until they end.
CallCounts RunConcurrentCalls(LoadClient& load_client,
                              int concurrent,
                              Duration time,
                              const std::function<HttpCall()>& make_call) {
  CallCounts counts;
  bool stopping = false;
  int open = 0;
  std::function<void()> start = [&] {
    ++open;
    ++load_client.started;
    HttpCallbacks callbacks;
    callbacks.on_data = [&counts](std::string_view bytes) {
      counts.events += CountEvents(bytes);
    };
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      --open;
      const bool succeeded =
          outcome.end == HttpEnd::kComplete && outcome.status == 200;
      counts.answered += succeeded ? 1 : 0;
      counts.failed += succeeded ? 0 : 1;
      if (!stopping) {
        start();
      } else if (open == 0) {
        load_client.loop.Stop();
      }
    };
    load_client.client.Start(make_call(), std::move(callbacks));
  };
  for (int i = 0; i < concurrent; ++i) {
    start();
  }
  const Timer stop(load_client.loop, time, Duration(0),
                   [&] { stopping = true; });
  load_client.loop.Run();
  return counts;
}

struct Latencies {
  std::vector<double> direct;
  std::vector<double> through_entry;
  std::uint64_t failed = 0;
};

// Starts calls at a fixed rate, alternately to the stand-in and through the
// entry host. Latency is measured to the first byte of the body if
// `first_byte`, else to its end.
Latencies MeasureLatency(
    LoadClient& load_client,
    double rate,
    Duration time,
    bool first_byte,
    const std::function<HttpCall(bool direct)>& make_call) {
  Latencies latencies;
  std::uint64_t call_count = 0;
  const Duration interval(static_cast<std::int64_t>(1e6 / rate));
  const auto start_call = [&] {
    const bool direct = call_count++ % 2 == 0;
    ++load_client.started;
    const TimePoint sent = EventLoop::Now();
    auto measured = std::make_shared<bool>(false);
    auto& samples = direct ? latencies.direct : latencies.through_entry;
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
    load_client.client.Start(make_call(direct), std::move(callbacks));
  };
  {
    const Timer timer(load_client.loop, Duration(0), interval, start_call);
    load_client.RunFor(time);
  }
  load_client.RunFor(Seconds(1));
  return latencies;
}

void PrintLatency(const char* name, const Latencies& latencies) {
  for (const double fraction : {0.5, 0.99}) {
    const double direct = Percentile(latencies.direct, fraction);
    const double through_entry = Percentile(latencies.through_entry, fraction);
    std::printf("%s_p%.0f_ms direct=%.3f through=%.3f added=%.3f\n", name,
                fraction * 100, direct, through_entry, through_entry - direct);
  }
  std::printf("%s_calls direct=%zu through=%zu failed=%lu\n", name,
              latencies.direct.size(), latencies.through_entry.size(),
              latencies.failed);
}

void WarmUp(LoadClient& load_client) {
  // Agents start with a cold limit and at most double it each second.
  const CallCounts plain =
      RunConcurrentCalls(load_client, kMaxPlainInFlight, Seconds(3),
                         [&] { return load_client.PlainRead(false); });
  const CallCounts streams = RunConcurrentCalls(
      load_client, FLAGS_open_streams, Seconds(12),
      [&] { return load_client.Completion(false, kFastModel, 2); });
  std::printf("warm_up plain=%lu/%lu streams=%lu/%lu (answered/failed)\n",
              plain.answered, plain.failed, streams.answered, streams.failed);
}

double MeasurePlain(LoadClient& load_client) {
  const double before = CpuSeconds(FLAGS_entry_pid);
  const CallCounts counts =
      RunConcurrentCalls(load_client, kMaxPlainInFlight, Seconds(FLAGS_seconds),
                         [&] { return load_client.PlainRead(false); });
  const double cpu = CpuSeconds(FLAGS_entry_pid) - before;
  const auto answered = static_cast<double>(counts.answered);
  std::printf("plain_requests_per_entry_core %.0f\n", answered / cpu);
  std::printf("plain_requests_per_s %.0f failed=%lu entry_cpu_s=%.2f\n",
              answered / FLAGS_seconds, counts.failed, cpu);
  return answered / FLAGS_seconds;
}

void MeasureTokens(LoadClient& load_client) {
  const double entry_before = CpuSeconds(FLAGS_entry_pid);
  const double agent_before = CpuSeconds(FLAGS_agent_pid);
  const TimePoint started_at = EventLoop::Now();
  const CallCounts counts = RunConcurrentCalls(
      load_client, FLAGS_streams, Seconds(FLAGS_seconds), [&] {
        return load_client.Completion(false, kFastModel, FLAGS_stream_tokens);
      });
  const double seconds = ToMilliseconds(EventLoop::Now() - started_at) / 1000;
  const double entry = CpuSeconds(FLAGS_entry_pid) - entry_before;
  const double agent = CpuSeconds(FLAGS_agent_pid) - agent_before;
  // Each stream ends with two events that carry no token.
  const double tokens = static_cast<double>(counts.events) -
                        2.0 * static_cast<double>(counts.answered);
  std::printf("tokens_per_entry_core %.0f\n", tokens / entry);
  std::printf("tokens_per_agent_core %.0f\n", tokens / agent);
  std::printf("tokens_per_s %.0f streams=%lu failed=%lu\n", tokens / seconds,
              counts.answered, counts.failed);
}

void MeasureMemory(LoadClient& load_client) {
  const CallCounts warm_up = RunConcurrentCalls(
      load_client, FLAGS_open_streams, Seconds(20),
      [&] { return load_client.Completion(false, kSlowModel, 8); });
  std::printf("slow_model_warm_up answered=%lu failed=%lu\n", warm_up.answered,
              warm_up.failed);
  const double entry_before = ResidentMegabytes(FLAGS_entry_pid);
  const double agent_before = ResidentMegabytes(FLAGS_agent_pid);
  int ended = 0;
  int first_data_count = 0;
  std::uint64_t failed = 0;
  for (int i = 0; i < FLAGS_open_streams; ++i) {
    ++load_client.started;
    auto is_first = std::make_shared<bool>(true);
    HttpCallbacks callbacks;
    callbacks.on_data = [&first_data_count, is_first](std::string_view) {
      first_data_count += std::exchange(*is_first, false) ? 1 : 0;
    };
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      failed +=
          outcome.end == HttpEnd::kComplete && outcome.status == 200 ? 0 : 1;
      if (++ended == FLAGS_open_streams) {
        load_client.loop.Stop();
      }
    };
    load_client.client.Start(load_client.Completion(false, kSlowModel, 2000),
                             std::move(callbacks));
  }
  double entry_open = 0;
  double agent_open = 0;
  int open_at_sample = 0;
  const Timer sample(load_client.loop, Seconds(4), Duration(0), [&] {
    entry_open = ResidentMegabytes(FLAGS_entry_pid);
    agent_open = ResidentMegabytes(FLAGS_agent_pid);
    open_at_sample = first_data_count - ended;
    load_client.loop.Stop();
  });
  load_client.loop.Run();
  std::printf(
      "memory_mb entry_before=%.1f entry=%.1f agent_before=%.1f "
      "agent=%.1f open_streams=%d failed=%lu\n",
      entry_before, entry_open, agent_before, agent_open, open_at_sample,
      failed);
}

void MeasureIdle(LoadClient& load_client) {
  const double entry_before = CpuSeconds(FLAGS_entry_pid);
  const double agent_before = CpuSeconds(FLAGS_agent_pid);
  const int seconds = 2 * FLAGS_seconds;
  load_client.RunFor(Seconds(seconds));
  std::printf("idle_cpu_percent entry=%.2f agent=%.2f\n",
              100 * (CpuSeconds(FLAGS_entry_pid) - entry_before) / seconds,
              100 * (CpuSeconds(FLAGS_agent_pid) - agent_before) / seconds);
}

int Main() {
  LoadClient load_client;
  MeasureIdle(load_client);
  WarmUp(load_client);
  const double plain_rate = MeasurePlain(load_client);
  MeasureTokens(load_client);
  PrintLatency("plain_quarter_load",
               MeasureLatency(
                   load_client, plain_rate / 2, Seconds(FLAGS_seconds), false,
                   [&](bool direct) { return load_client.PlainRead(direct); }));
  PrintLatency("plain_half_load",
               MeasureLatency(
                   load_client, plain_rate, Seconds(FLAGS_seconds), false,
                   [&](bool direct) { return load_client.PlainRead(direct); }));
  PrintLatency("first_token",
               MeasureLatency(load_client, 100, Seconds(FLAGS_seconds), true,
                              [&](bool direct) {
                                return load_client.Completion(direct,
                                                              kFastModel, 4);
                              }));
  MeasureMemory(load_client);
  // The streams that are still open end with this process.
  return 0;
}

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return toucanhollow::Main();
}
