// Prints measurements of the deciding packages as Markdown tables.
// Arguments: the tables to print (default: all of kTables).
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
constexpr double kTokenCapacity = 32 / 0.024;  // tokens/s of a full endpoint

// Values of one column over the seeds, by row label.
using Row = std::vector<std::vector<double>>;

void Add(Row& row, const std::vector<double>& values) {
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

// Ten client accounts, a few of them large.
std::vector<double> TenAccounts() {
  return {0.28, 0.22, 0.16, 0.08, 0.07, 0.06, 0.05, 0.04, 0.02, 0.02};
}

// Drafting servers at a share of their capacity: 32 slots, 100 tokens of
// output at 24 ms and 80 ms of prefill.
FleetConfig Drafting(std::uint64_t seed, double load) {
  FleetConfig config;
  config.seed = seed;
  config.mix.account_shares = TenAccounts();
  config.mix.unique_tokens = 800;
  config.mix.rate_per_s = load * 16 * 32 / (0.08 + 100 * 0.024);
  return config;
}

// Three plain servers, one in each data centre.
FleetConfig Plain(std::uint64_t seed, double load) {
  FleetConfig config;
  config.seed = seed;
  config.endpoints = {1, 1, 1};
  config.engine.full_limit = 16;
  config.engine.plain_ms = 40;
  config.admission.first_token_target = Milliseconds(150);
  config.admission.step_target = Duration(0);
  config.mix.account_shares = TenAccounts();
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
        FleetConfig config = plain ? Plain(seed, 0.6) : Drafting(seed, 0.6);
        config.router = router;
        config.between_delay = between;
        config.duration = Seconds(100);
        config.outage = {0, Seconds(30), Seconds(60), abrupt};
        const FleetResult result = RunFleet(config);
        for (const auto& [phase, times] : phases) {
          const WindowSummary window = SummarizeWindow(
              result, Seconds(times.first), Seconds(times.second));
          const bool out = phase == "out";
          Add(rows[phase], {double(window.requests), 100 * window.in_time_share,
                            double(window.refused), double(window.unknown),
                            double(window.lost), window.first_token_p95_ms,
                            out ? double(result.starts_within_bound) : 0,
                            out ? double(result.starts_after_bound) : 0});
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

// (a) Service while a data centre leaves and returns.
void PrintDataCentre() {
  std::printf("\n## (a) A data centre leaves and returns at 60%% load\n");
  PrintOutage("Lautoka: 1 ms between data centres, taken out by a record",
              Milliseconds(1), false);
  PrintOutage("Halloway: 1.5 ms between data centres, taken out by a record",
              Duration(1500), false);
  PrintOutage("Lautoka: all endpoints of a data centre die and restart",
              Milliseconds(1), true);
}

// (b) Shares when one account floods, and goodput above capacity.
void PrintOverload() {
  std::printf("\n## (b) Overload\n\n### One account floods\n\n");
  PrintHeader({"queue", "quiet accounts in time %", "flood in time %",
               "quiet share of goodput %", "p95 first token of quiet ms"});
  for (const EntryQueueKind queue :
       {EntryQueueKind::kFair, EntryQueueKind::kArrival}) {
    Row row;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      // Nine accounts of 5% of capacity each; one of 200%.
      FleetConfig config = Drafting(seed, 2.45);
      config.queue = queue;
      config.mix.account_shares.assign(9, 0.05 / 2.45);
      config.mix.account_shares.push_back(2.0 / 2.45);
      const FleetResult result = RunFleet(config);
      const auto quiet = [](const RequestResult& request) {
        return request.account < 9;
      };
      const WindowSummary all =
          SummarizeWindow(result, Seconds(20), Seconds(60));
      const WindowSummary small =
          SummarizeWindow(result, Seconds(20), Seconds(60), quiet);
      const WindowSummary flood = SummarizeWindow(
          result, Seconds(20), Seconds(60),
          [&](const RequestResult& request) { return !quiet(request); });
      Add(row, {100 * small.in_time_share, 100 * flood.in_time_share,
                all.goodput > 0 ? 100 * small.goodput / all.goodput : 0,
                small.first_token_p95_ms});
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
    std::vector<double> at_one(kSeeds + 1);
    for (const double load : {1.0, 0.5, 2.0, 4.0}) {
      Row row;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        FleetConfig config = Drafting(seed, load);
        config.queue = queue;
        const WindowSummary window =
            SummarizeWindow(RunFleet(config), Seconds(20), Seconds(60));
        if (load == 1.0) {
          at_one[seed] = window.goodput;
        }
        const int late = window.requests - window.in_time - window.refused;
        Add(row, {window.goodput, 100 * window.goodput / at_one[seed],
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

// (c) The ramp of a fresh endpoint, and a warm one that turns cold.
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
      FleetConfig config = Drafting(seed, 0.9 * 4 / 16);
      config.endpoints = {4};
      config.duration = Seconds(90);
      const bool baseline = kind.find("baseline") != std::string_view::npos;
      const bool turns = kind.starts_with("turns");
      const double event_s = kind == "fresh, all 4 fresh" ? 0 : 20;
      if (kind.find("60%") != std::string_view::npos) {
        config = Drafting(seed, 0.6);
        config.duration = Seconds(90);
        config.outage = {0, Seconds(10), Seconds(20), true};
      } else if (turns) {
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
      double full_s = -1;
      double highest = 0;
      bool fell = !turns;
      for (const EndpointSample& sample : result.samples) {
        const double second =
            ToMilliseconds(sample.time.time_since_epoch()) / 1000;
        if (second < event_s) {
          continue;
        }
        fell = fell || sample.limit < config.engine.full_limit;
        // Work that was running when the endpoint turned cold is not cut.
        if (sample.running > 0 && (!turns || second > event_s + 8)) {
          highest = std::max(highest, sample.running / sample.bears);
        }
        if (full_s < 0 && fell && sample.limit >= config.engine.full_limit) {
          full_s = second - event_s;
        }
      }
      Add(row, {full_s, double(result.starts_beyond), highest,
                double(result.engine_failures)});
    }
    PrintRow(std::string(kind), row, {1, 1, 2, 1});
  }
}

// (d) Prefix hits and first-token time.
void PrintPrefix() {
  std::printf("\n## (d) Prompt prefixes\n\n");
  PrintHeader({"router", "prompt tokens from cache %", "first token p50 ms",
               "first token p95 ms", "in time %"});
  for (const NamedRouter& router : kRouters) {
    Row row;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      FleetConfig config = WithRouter(Drafting(seed, 0.6), router.kind);
      // 60 templates of 128 blocks; each cache holds the blocks of 24.
      config.mix.templates = 6;
      config.mix.shared_tokens = 2048;
      config.mix.unique_tokens = 128;
      config.engine.cache_blocks = 24 * 128;
      const FleetResult result = RunFleet(config);
      const WindowSummary window =
          SummarizeWindow(result, Seconds(20), Seconds(60));
      Add(row,
          {100.0 * double(result.matched_tokens) / double(result.prompt_tokens),
           window.first_token_p50_ms, window.first_token_p95_ms,
           100 * window.in_time_share});
    }
    PrintRow(std::string(router.name), row, {1, 0, 0, 2});
  }
}

// (e) Many entry hosts on the same stale reports.
void PrintHerding() {
  std::printf("\n## (e) Herding on stale reports\n\n");
  PrintHeader({"router, load", "refusals per 100 requests",
               "peak load over mean", "first token p95 ms", "in time %"});
  for (const double load : {0.6, 0.9}) {
    for (const NamedRouter& router : kRouters) {
      Row row;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        FleetConfig config =
            WithRouter(Drafting(seed, load * 24 / 16), router.kind);
        config.endpoints = {24};
        config.entry_hosts = 37;
        config.aligned_heartbeats = true;
        config.duration = Seconds(40);
        const FleetResult result = RunFleet(config);
        const WindowSummary window =
            SummarizeWindow(result, Seconds(10), Seconds(40));
        Add(row, {100.0 * double(result.agent_refusals) /
                      double(result.requests.size()),
                  result.load_peak_to_mean, window.first_token_p95_ms,
                  100 * window.in_time_share});
      }
      PrintRow(std::string(router.name) + ", " + FormatSpread({load}, 1), row,
               {1, 2, 0, 2});
    }
  }
}

double MicrosecondsEach(int count, const std::function<void(int)>& run) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) {
    run(i);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / count;
}

TimePoint After(int microseconds) {
  return TimePoint(Seconds(10) + Duration(microseconds));
}

double AdmitCost() {
  constexpr Incarnation kAgent{1};
  AdmissionState state = MakeAdmissionState({}, kAgent, TimePoint());
  state = RecordEngineReport(std::move(state), {Incarnation{1}, 0, Duration(0)},
                             After(0));
  return MicrosecondsEach(200000, [&](int i) {
    const DispatchId dispatch{"request-" + std::to_string(i)};
    AdmissionDecision decision =
        Admit(std::move(state), {dispatch, kAgent, {"entry-1"}, Seconds(5)},
              After(i));
    state = RecordCompletion(std::move(decision.state),
                             {dispatch, CompletionOutcome::kAnswered,
                              Milliseconds(100), 0, Milliseconds(20)},
                             After(i));
  });
}

double QueueCost() {
  FairQueue queue;
  return MicrosecondsEach(200000, [&](int i) {
    QueuedRequest request;
    request.request = RequestId{std::to_string(i)};
    request.account = AccountName{"account-" + std::to_string(i % 330)};
    EnqueueDecision decision =
        Enqueue(std::move(queue), std::move(request), After(i));
    queue = std::move(decision.queue);
    if (i >= 1000) {
      queue = Dequeue(std::move(queue), After(i)).queue;
    }
  });
}

// 73 endpoints is the mean of 1,100 over 15 models.
double ChooseCost(int endpoints) {
  RandomStream random{1};
  RoutingView view;
  for (int i = 0; i < endpoints; ++i) {
    const EndpointName name{"endpoint-" + std::to_string(1000 + i)};
    view = AddEndpoint(std::move(view), name, DataCentreName{"dc"});
    const LoadReport report{Incarnation{1},   32,        32, i % 32, 0, true,
                            Milliseconds(20), Seconds(3)};
    view = ApplyLoadReport(std::move(view), name, report, After(0));
  }
  RoutingRequest request;
  request.prompt_tokens = 1024;
  request.expected_output_tokens = 100;
  return MicrosecondsEach(20000, [&](int i) {
    const RoutingDecision decision =
        ChooseEndpoint(view, {}, request, NextUnit(random), After(i));
    view = RecordDispatchSent(std::move(view),
                              view.endpoints[decision.endpoint].name, After(i));
    view = RecordDispatchEnded(std::move(view),
                               view.endpoints[decision.endpoint].name);
  });
}

// A prompt of 2,048 tokens that several endpoints hold.
double MatchCost() {
  std::vector<BlockHash> blocks;
  for (BlockHash block = 1; block <= 128; ++block) {
    blocks.push_back(block);
  }
  PrefixIndex index;
  for (int i = 0; i < 24; ++i) {
    index = RecordPrompt(std::move(index),
                         EndpointName{"endpoint-" + std::to_string(i)}, blocks,
                         After(0));
  }
  std::size_t matches = 0;
  return MicrosecondsEach(20000, [&](int i) {
    matches += MatchPrefix(index, blocks, After(i)).size();
  });
}

// Cost of one decision on this machine.
void PrintDecisionCost() {
  std::printf("\n## Cost of one decision\n\n");
  PrintHeader({"decision", "microseconds"});
  const std::vector<std::pair<std::string, std::function<double()>>> rows = {
      {"admit and complete one dispatch", AdmitCost},
      {"enqueue and dequeue, 330 accounts, 1,000 waiting", QueueCost},
      {"choose among 24 endpoints", [] { return ChooseCost(24); }},
      {"choose among 73 endpoints", [] { return ChooseCost(73); }},
      {"choose among 1,100 endpoints", [] { return ChooseCost(1100); }},
      {"match 128 blocks held by 24 endpoints", MatchCost}};
  for (const auto& [label, run] : rows) {
    Row row;
    for (int repeat = 0; repeat < kSeeds; ++repeat) {
      Add(row, {run()});
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
  const std::vector<std::string_view> wanted(argv + 1, argv + argc);
  for (const toucanhollow::Table& table : toucanhollow::kTables) {
    if (wanted.empty() ||
        std::ranges::find(wanted, table.name) != wanted.end()) {
      table.print();
    }
  }
  return 0;
}
