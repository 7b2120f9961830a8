// Prints Markdown tables that compare ways to deal with prompts that crash
// servers.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "quarantine_bench/fleet.h"

namespace toucanhollow {
namespace {

constexpr QuarantinePolicy kPolicies[] = {
    QuarantinePolicy::kNone, QuarantinePolicy::kFirstCrash,
    QuarantinePolicy::kCommonPart, QuarantinePolicy::kOwnIsolation,
    QuarantinePolicy::kIsolation};
constexpr FleetTrouble kTroubles[] = {
    FleetTrouble::kHostRestarts, FleetTrouble::kSplit, FleetTrouble::kLossy};
constexpr double kPercent = 100;

void PrintHeader(const std::string& title) {
  std::printf(
      "\n%s\n\n"
      "| way | hosts | crashes | most by one part | sent late | sound "
      "requests refused | served | refused waiting | delayed "
      "| halted |\n|---|---|---|---|---|---|---|---|---|---|\n",
      title.c_str());
}

constexpr int kSeeds = 10;

// The sums of the counts and the means of the fractions over several seeds.
PromptFleetResult SimulateSeeds(PromptFleetOptions options) {
  PromptFleetResult sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    const PromptFleetResult result = SimulatePromptFleet(options);
    sum.deadly_crashes += result.deadly_crashes;
    sum.most_crashes_by_one_part =
        std::max(sum.most_crashes_by_one_part, result.most_crashes_by_one_part);
    sum.deadly_sent_late += result.deadly_sent_late;
    sum.sound_refused += result.sound_refused;
    sum.served += result.served / kSeeds;
    sum.refused_waiting += result.refused_waiting / kSeeds;
    sum.delayed += result.delayed / kSeeds;
    sum.halted += result.halted / kSeeds;
  }
  return sum;
}

void PrintRow(const PromptFleetOptions& options) {
  const PromptFleetResult result = SimulateSeeds(options);
  std::printf(
      "| %s | %d | %d | %d | %d | %d | %.1f%% | %.2f%% | %.2f%% | "
      "%.0f%% |\n",
      std::string(QuarantinePolicyName(options.policy)).c_str(), options.hosts,
      result.deadly_crashes, result.most_crashes_by_one_part,
      result.deadly_sent_late, result.sound_refused, result.served * kPercent,
      result.refused_waiting * kPercent, result.delayed * kPercent,
      result.halted * kPercent);
}

void PrintTable(const std::string& title,
                PromptFleetOptions options,
                const std::vector<int>& sizes) {
  PrintHeader(title);
  for (const QuarantinePolicy policy : kPolicies) {
    options.policy = policy;
    for (const int hosts : sizes) {
      options.hosts = hosts;
      PrintRow(options);
    }
  }
}

void PrintAll() {
  const std::vector<int> usual = {34};
  PrintTable("One deadly part, one model group", {}, {6, 34, 100, 300});
  PromptFleetOptions groups;
  groups.groups = 3;
  PrintTable("One deadly part, three model groups", groups, usual);
  PromptFleetOptions several;
  several.deadly_parts = 3;
  several.deadly_accounts = 10;
  several.services = 2;
  PrintTable("Three deadly parts of ten accounts in each of two services",
             several, usual);
  PromptFleetOptions crashes;
  crashes.deadly_share = 0;
  crashes.other_crashes_per_s = 0.2;
  crashes.hot_share = 0.33;
  crashes.groups = 3;
  crashes.length = Seconds(300);
  PrintTable(
      "No deadly part, a crash each 5 s, one part in a third of the requests",
      crashes, usual);
  crashes.other_crash_width = 8;
  crashes.other_crashes_per_s = 0.05;
  PrintTable("No deadly part, eight servers crash each 20 s", crashes, usual);
  PromptFleetOptions hostile;
  hostile.hostile = true;
  hostile.victim_per_s = 1;
  PrintTable("A new deadly part in each request beside one part of others",
             hostile, usual);
  PromptFleetOptions pairs = crashes;
  pairs.other_crash_width = 1;
  pairs.other_crashes_per_s = 0.2;
  pairs.paired_share = 0.3;
  PrintTable(
      "No deadly part, a crash each 5 s, three in ten requests have two parts "
      "that always come together",
      pairs, usual);
  for (const int delay_ms : {20, 200, 1000}) {
    PromptFleetOptions options;
    options.crash_delay = Milliseconds(delay_ms);
    options.deadly_share = 0.01;
    PrintTable("One deadly part, crashes " + std::to_string(delay_ms) +
                   " ms after the answer began",
               options, usual);
  }
  for (const FleetTrouble trouble : kTroubles) {
    PromptFleetOptions options;
    options.trouble = trouble;
    PrintTable("One deadly part; " + std::string(FleetTroubleName(trouble)),
               options, usual);
  }
}

}  // namespace
}  // namespace toucanhollow

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  toucanhollow::PrintAll();
  return 0;
}
