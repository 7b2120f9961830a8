// Prints measurements of the admission, overload and routing policies as
// Markdown tables. Arguments: names of the tables to print (default: all of
// kTables).
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/admit.h"
#include "admission/health.h"
#include "policy_bench/fleet.h"
#include "policy_bench/random_stream.h"
#include "policy_bench/summary.h"
#include "routing/choose_endpoint.h"

namespace toucanhollow {
namespace {

constexpr int kSeeds = 5;
constexpr double kTokenCapacity = 32 / 0.024;  // tokens/s at the full limit

// One table row: for each column, the values over the seeds.
using Row = std::vector<std::vector<double>>;

void AddValues(Row& row, const std::vector<double>& values) {
  row.resize(values.size());
  for (std::size_t i = 0; i < values.size(); ++i) {
    row[i].push_back(values[i]);
  }
}

void PrintHeader(const std::vector<std::string>& columns) {
  std::string names = "|";
  std::string rule = "|";
  for (const std::string& column : columns) {
    names += " " + column + " |";
    rule += "---|";
  }
  std::printf("%s\n%s\n", names.c_str(), rule.c_str());
}

void PrintRow(const std::string& label,
              const Row& row,
              const std::vector<int>& decimals) {
  std::string line = "| " + label + " |";
  for (std::size_t i = 0; i < row.size(); ++i) {
    line += " " + FormatSpread(row[i], decimals[i]) + " |";
  }
  std::printf("%s\n", line.c_str());
}

// Traffic shares of ten client accounts, of which three have two thirds.
std::vector<double> MakeAccountShares() {
  return {0.28, 0.22, 0.16, 0.08, 0.07, 0.06, 0.05, 0.04, 0.02, 0.02};
}

// Drafting engines that are offered `load` times the capacity of 16 of them. An
// engine has 32 slots; a request takes 80 ms of prefill and 24 ms for each
// output token, 100 tokens on average.
FleetConfig MakeDraftingFleet(std::uint64_t seed, double load) {
  FleetConfig config;
  config.seed = seed;
  config.mix.account_shares = MakeAccountShares();
  config.mix.unique_tokens = 800;
  config.mix.rate_per_s = load * 16 * 32 / (0.08 + 100 * 0.024);
  return config;
}

// A plain service with three endpoints, one in each data centre, that is
// offered `load` times its capacity.
FleetConfig MakePlainFleet(std::uint64_t seed, double load) {
  FleetConfig config;
  config.seed = seed;
  config.endpoints = {1, 1, 1};
  config.engine.full_limit = 16;
  config.engine.plain_ms = 40;
  config.admission.first_token_target = Milliseconds(150);
  config.admission.step_target = Duration(0);
  config.mix.account_shares = MakeAccountShares();
  config.mix.min_output = 1;
  config.mix.max_output = 1;
  config.mix.deadline = Seconds(1);
  config.mix.rate_per_s = load * 3 * 16 / 0.040;
  return config;
}

FleetConfig WithRouter(FleetConfig config, RouterKind router) {
  config.router = router;
  return config;
}

struct NamedRouter {
  std::string_view name;
  RouterKind kind;
};

constexpr NamedRouter kRouters[] = {
    {"scored (ours)", RouterKind::kScored},
    {"round robin", RouterKind::kRoundRobin},
    {"least outstanding", RouterKind::kLeastOutstanding},
    {"two random choices", RouterKind::kTwoChoices},
    {"least by last report", RouterKind::kLeastReported},
};

void PrintOutage(std::string_view title, Duration between, bool abrupt) {
  std::printf("\n### %.*s\n\n", static_cast<int>(title.size()), title.data());
  PrintHeader({"service, router, phase", "requests", "in time %", "refused",
               "unknown", "lost", "first token p95 ms",
               "starts in it within 3 s", "starts in it after 3 s"});
  const std::vector<int> decimals = {0, 3, 1, 1, 0, 0, 1, 0};
  for (const bool plain : {false, true}) {
    for (const RouterKind router :
         {RouterKind::kScored, RouterKind::kRoundRobin}) {
      const std::vector<std::pair<std::string, std::pair<int, int>>> phases = {
          {"before", {10, 30}}, {"out", {30, 60}}, {"back", {60, 100}}};
      std::map<std::string, Row> rows;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        FleetConfig config =
            plain ? MakePlainFleet(seed, 0.6) : MakeDraftingFleet(seed, 0.6);
        config.router = router;
        config.between_delay = between;
        config.duration = Seconds(100);
        config.outage = {0, Seconds(30), Seconds(60), abrupt};
        const FleetResult result = RunFleet(config);
        for (const auto& [phase, times] : phases) {
          const WindowSummary window = SummarizeWindow(
              result, Seconds(times.first), Seconds(times.second));
          const bool is_out = phase == "out";
          AddValues(rows[phase],
                    {double(window.requests), 100 * window.in_time_share,
                     double(window.refused), double(window.unknown),
                     double(window.lost), window.first_token_p95_ms,
                     is_out ? double(result.starts_within_bound) : 0,
                     is_out ? double(result.starts_after_bound) : 0});
        }
      }
      for (const auto& [phase, times] : phases) {
        PrintRow(
            (plain ? "plain" : "drafting") +
                std::string(router == RouterKind::kScored ? ", scored (ours), "
                                                          : ", round robin, ") +
                phase,
            rows[phase], decimals);
      }
    }
  }
}

// (a) Requests served while a data centre is out of service and after it
// returns.
void PrintDataCentre() {
  std::printf("\n## (a) A data centre leaves and returns at 60%% load\n");
  PrintOutage("Lautoka: 1 ms between data centres, taken out by a record",
              Milliseconds(1), false);
  PrintOutage("Halloway: 1.5 ms between data centres, taken out by a record",
              Duration(1500), false);
  PrintOutage("Lautoka: all endpoints of a data centre die and restart",
              Milliseconds(1), true);
}

// (b) Shares of the accounts when one of them overloads the fleet, and goodput
// above capacity.
void PrintOverload() {
  std::printf("\n## (b) Overload\n\n### One account floods\n\n");
  PrintHeader({"queue", "quiet accounts in time %", "flood in time %",
               "quiet share of goodput %", "p95 first token of quiet ms"});
  for (const EntryQueueKind queue :
       {EntryQueueKind::kFair, EntryQueueKind::kArrival}) {
    Row row;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      // Nine accounts of 5% of capacity each; one of 200%.
      FleetConfig config = MakeDraftingFleet(seed, 2.45);
      config.queue = queue;
      config.mix.account_shares.assign(9, 0.05 / 2.45);
      config.mix.account_shares.push_back(2.0 / 2.45);
      const FleetResult result = RunFleet(config);
      const auto is_quiet = [](const RequestResult& request) {
        return request.account < 9;
      };
      const WindowSummary all =
          SummarizeWindow(result, Seconds(20), Seconds(60));
      const WindowSummary quiet_window =
          SummarizeWindow(result, Seconds(20), Seconds(60), is_quiet);
      const WindowSummary flood_window = SummarizeWindow(
          result, Seconds(20), Seconds(60),
          [&](const RequestResult& request) { return !is_quiet(request); });
      AddValues(
          row,
          {100 * quiet_window.in_time_share, 100 * flood_window.in_time_share,
           all.goodput > 0 ? 100 * quiet_window.goodput / all.goodput : 0,
           quiet_window.first_token_p95_ms});
    }
    PrintRow(
        queue == EntryQueueKind::kFair ? "fair (ours)" : "order of arrival",
        row, {2, 2, 1, 0});
  }
  std::printf("\n### Goodput by offered load\n\n");
  PrintHeader({"queue, offered load", "goodput tokens/s",
               "of the goodput at 1 %", "of capacity %", "refused %",
               "late %"});
  for (const EntryQueueKind queue :
       {EntryQueueKind::kFair, EntryQueueKind::kArrival}) {
    std::vector<double> goodput_at_capacity(kSeeds + 1);
    for (const double load : {1.0, 0.5, 2.0, 4.0}) {
      Row row;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        FleetConfig config = MakeDraftingFleet(seed, load);
        config.queue = queue;
        const WindowSummary window =
            SummarizeWindow(RunFleet(config), Seconds(20), Seconds(60));
        if (load == 1.0) {
          goodput_at_capacity[seed] = window.goodput;
        }
        const int late = window.requests - window.in_time - window.refused;
        AddValues(row, {window.goodput,
                        100 * window.goodput / goodput_at_capacity[seed],
                        100 * window.goodput / (16 * kTokenCapacity),
                        100.0 * window.refused / window.requests,
                        100.0 * late / window.requests});
      }
      PrintRow((queue == EntryQueueKind::kFair ? "fair (ours), "
                                               : "order of arrival, ") +
                   FormatSpread({load}, 1),
               row, {0, 1, 1, 1, 1});
    }
  }
}

// (c) The slow start of a new endpoint, and the detection of a warm endpoint
// that turns cold.
void PrintSlowStart() {
  std::printf("\n## (c) Slow start and a cold turn\n\n");
  PrintHeader({"case", "time to full limit s", "starts above what it bears",
               "highest load over what it bears", "endpoint failures"});
  for (const std::string_view kind :
       {"fresh, among 3 warm", "fresh, all 4 fresh",
        "fresh, with its data centre, 60% load", "turns cold",
        "fresh, no slow start (baseline)",
        "turns cold, no detection (baseline)"}) {
    Row row;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      FleetConfig config = MakeDraftingFleet(seed, 0.9 * 4 / 16);
      config.endpoints = {4};
      config.duration = Seconds(90);
      const bool baseline = kind.find("baseline") != std::string_view::npos;
      const bool turns_cold = kind.starts_with("turns");
      const double event_s = kind == "fresh, all 4 fresh" ? 0 : 20;
      if (kind.find("60%") != std::string_view::npos) {
        config = MakeDraftingFleet(seed, 0.6);
        config.duration = Seconds(90);
        config.outage = {0, Seconds(10), Seconds(20), true};
      } else if (turns_cold) {
        config.cold_at = Seconds(20);
      } else if (event_s == 0) {
        config.start_warm = false;
      } else {
        config.endpoints = {1, 3};
        config.between_delay = config.within_delay;
        config.outage = {0, Duration(0), Seconds(20), true};
      }
      if (baseline) {
        config.fixed_limit = true;
      }
      const FleetResult result = RunFleet(config);
      double full_limit_s = -1;
      double max_load_ratio = 0;
      bool limit_dropped = !turns_cold;
      for (const EndpointSample& sample : result.samples) {
        const double sample_s =
            ToMilliseconds(sample.time.time_since_epoch()) / 1000;
        if (sample_s < event_s) {
          continue;
        }
        limit_dropped =
            limit_dropped || sample.limit < config.engine.full_limit;
        // Requests that were running when the endpoint turned cold are not
        // cancelled, so samples of the next 8 s are ignored.
        if (sample.running > 0 && (!turns_cold || sample_s > event_s + 8)) {
          max_load_ratio =
              std::max(max_load_ratio, sample.running / sample.bears);
        }
        if (full_limit_s < 0 && limit_dropped &&
            sample.limit >= config.engine.full_limit) {
          full_limit_s = sample_s - event_s;
        }
      }
      AddValues(row, {full_limit_s, double(result.starts_beyond),
                      max_load_ratio, double(result.engine_failures)});
    }
    PrintRow(std::string(kind), row, {1, 1, 2, 1});
  }
}

// (d) Prefix cache hits and time to the first token.
void PrintPrefix() {
  std::printf("\n## (d) Prompt prefixes\n\n");
  PrintHeader({"router", "prompt tokens from cache %", "first token p50 ms",
               "first token p95 ms", "in time %"});
  for (const NamedRouter& router : kRouters) {
    Row row;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      FleetConfig config =
          WithRouter(MakeDraftingFleet(seed, 0.6), router.kind);
      // 6 templates for each of 10 accounts, of 128 blocks each; each cache
      // holds the blocks of 24 templates.
      config.mix.templates = 6;
      config.mix.shared_tokens = 2048;
      config.mix.unique_tokens = 128;
      config.engine.cache_blocks = 24 * 128;
      const FleetResult result = RunFleet(config);
      const WindowSummary window =
          SummarizeWindow(result, Seconds(20), Seconds(60));
      AddValues(row, {100.0 * double(result.matched_tokens) /
                          double(result.prompt_tokens),
                      window.first_token_p50_ms, window.first_token_p95_ms,
                      100 * window.in_time_share});
    }
    PrintRow(std::string(router.name), row, {1, 0, 0, 2});
  }
}

// (e) Herding: many entry hosts route by the same stale load reports.
void PrintHerding() {
  std::printf("\n## (e) Herding on stale reports\n\n");
  PrintHeader({"router, load", "refusals per 100 requests",
               "peak load over mean", "first token p95 ms", "in time %"});
  for (const double load : {0.6, 0.9}) {
    for (const NamedRouter& router : kRouters) {
      Row row;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        FleetConfig config =
            WithRouter(MakeDraftingFleet(seed, load * 24 / 16), router.kind);
        config.endpoints = {24};
        config.entry_hosts = 37;
        config.aligned_heartbeats = true;
        config.duration = Seconds(40);
        const FleetResult result = RunFleet(config);
        const WindowSummary window =
            SummarizeWindow(result, Seconds(10), Seconds(40));
        AddValues(row, {100.0 * double(result.agent_refusals) /
                            double(result.requests.size()),
                        result.load_peak_to_mean, window.first_token_p95_ms,
                        100 * window.in_time_share});
      }
      PrintRow(std::string(router.name) + ", " + FormatSpread({load}, 1), row,
               {1, 2, 0, 2});
    }
  }
}

double MeasureCallUs(int count, const std::function<void(int)>& run) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) {
    run(i);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / count;
}

TimePoint TimeAfterStart(int microseconds) {
  return TimePoint(Seconds(10) + Duration(microseconds));
}

double MeasureAdmitUs() {
  constexpr Incarnation kAgent{1};
  AdmissionState state = MakeAdmissionState({}, kAgent, TimePoint());
  state = RecordEngineReport(std::move(state), {Incarnation{1}, 0, Duration(0)},
                             TimeAfterStart(0));
  return MeasureCallUs(200000, [&](int i) {
    const DispatchId dispatch{"request-" + std::to_string(i)};
    AdmissionDecision decision =
        Admit(std::move(state), {dispatch, kAgent, {"entry-1"}, Seconds(5)},
              TimeAfterStart(i));
    state = RecordCompletion(std::move(decision.state),
                             {dispatch, CompletionOutcome::kAnswered,
                              Milliseconds(100), 0, Milliseconds(20)},
                             TimeAfterStart(i));
  });
}

double MeasureQueueUs() {
  FairQueue queue;
  return MeasureCallUs(200000, [&](int i) {
    QueuedRequest request;
    request.request = RequestId{std::to_string(i)};
    request.account = AccountName{"account-" + std::to_string(i % 330)};
    EnqueueDecision decision =
        Enqueue(std::move(queue), std::move(request), TimeAfterStart(i));
    queue = std::move(decision.queue);
    if (i >= 1000) {
      queue = Dequeue(std::move(queue), TimeAfterStart(i)).queue;
    }
  });
}

// Called with 73 endpoints, the mean of 1,100 endpoints over 15 models, among
// other sizes.
double MeasureChooseUs(int endpoints) {
  RandomStream random{1};
  RoutingView view;
  for (int i = 0; i < endpoints; ++i) {
    const EndpointName name{"endpoint-" + std::to_string(1000 + i)};
    view = AddEndpoint(std::move(view), name, DataCentreName{"dc"});
    const LoadReport report{Incarnation{1},   32,        32, i % 32, 0, true,
                            Milliseconds(20), Seconds(3)};
    view = ApplyLoadReport(std::move(view), name, report, TimeAfterStart(0));
  }
  RoutingRequest request;
  request.prompt_tokens = 1024;
  request.expected_output_tokens = 100;
  return MeasureCallUs(20000, [&](int i) {
    const RoutingDecision decision =
        ChooseEndpoint(view, {}, request, NextUnit(random), TimeAfterStart(i));
    view = RecordDispatchSent(std::move(view),
                              view.endpoints[decision.endpoint].name,
                              TimeAfterStart(i));
    view = RecordDispatchEnded(std::move(view),
                               view.endpoints[decision.endpoint].name);
  });
}

// Matches a prompt of 2,048 tokens that 24 endpoints have in their caches.
double MeasureMatchUs() {
  std::vector<BlockHash> blocks;
  for (BlockHash block = 1; block <= 128; ++block) {
    blocks.push_back(block);
  }
  PrefixIndex index;
  for (int i = 0; i < 24; ++i) {
    index = RecordPrompt(std::move(index),
                         EndpointName{"endpoint-" + std::to_string(i)}, blocks,
                         TimeAfterStart(0));
  }
  std::size_t matches = 0;
  return MeasureCallUs(20000, [&](int i) {
    matches += MatchPrefix(index, blocks, TimeAfterStart(i)).size();
  });
}

// Mean time of one decision on this machine.
void PrintDecisionCost() {
  std::printf("\n## Cost of one decision\n\n");
  PrintHeader({"decision", "microseconds"});
  const std::vector<std::pair<std::string, std::function<double()>>> rows = {
      {"admit and complete one dispatch", MeasureAdmitUs},
      {"enqueue and dequeue, 330 accounts, 1,000 waiting", MeasureQueueUs},
      {"choose among 24 endpoints", [] { return MeasureChooseUs(24); }},
      {"choose among 73 endpoints", [] { return MeasureChooseUs(73); }},
      {"choose among 1,100 endpoints", [] { return MeasureChooseUs(1100); }},
      {"match 128 blocks held by 24 endpoints", MeasureMatchUs}};
  for (const auto& [label, run] : rows) {
    Row row;
    for (int repeat = 0; repeat < kSeeds; ++repeat) {
      AddValues(row, {run()});
    }
    PrintRow(label, row, {2});
  }
}

struct Table {
  std::string_view name;
  void (*print)();
};

constexpr Table kTables[] = {
    {"data_centre", PrintDataCentre}, {"overload", PrintOverload},
    {"slow_start", PrintSlowStart},   {"prefix", PrintPrefix},
    {"herding", PrintHerding},        {"decision_cost", PrintDecisionCost},
};

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  const std::vector<std::string_view> selected(argv + 1, argv + argc);
  for (const toucanhollow::Table& table : toucanhollow::kTables) {
    if (selected.empty() ||
        std::ranges::find(selected, table.name) != selected.end()) {
      table.print();
    }
  }
  return 0;
}
