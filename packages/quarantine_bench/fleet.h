// Simulates entry hosts that send requests to model groups in which one part of
// a prompt may crash each server that begins to write an answer on it.
//
// All ranks of a model group execute each pass together, so a crash halts the
// whole group until the server is back.
#ifndef QUARANTINE_BENCH_FLEET_H_
#define QUARANTINE_BENCH_FLEET_H_

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace toucanhollow {

enum class QuarantinePolicy {
  // Nothing is remembered.
  kNone,
  // A part that was there at one crash is refused until an answer clears it.
  kFirstCrash,
  // A part that was there at two crashes with no answer in between is refused.
  kCommonPart,
  // As kIsolation, but each host tests a part for itself.
  kOwnIsolation,
  // Suspect parts are sent in isolation, one request at a time in the fleet.
  kIsolation,
};

std::string_view QuarantinePolicyName(QuarantinePolicy policy);

enum class FleetTrouble {
  kNone,
  kHostRestarts,  // hosts restart one after the other and ask one other host
  kSplit,         // for some seconds each half of the hosts hears only itself
  kLossy,         // a tenth of the datagrams between hosts is lost
};

std::string_view FleetTroubleName(FleetTrouble trouble);

struct PromptFleetOptions {
  QuarantinePolicy policy = QuarantinePolicy::kIsolation;
  FleetTrouble trouble = FleetTrouble::kNone;
  int hosts = 34;
  int services = 1;
  int groups = 1;  // of each service
  int servers_per_group = 24;
  int slots = 10;               // of a server
  double requests_per_s = 120;  // of each service
  // Fraction of the requests that have one of the deadly parts.
  double deadly_share = 0.05;
  int deadly_parts = 1;
  // Accounts that send the deadly parts.
  int deadly_accounts = 1;
  Duration deadly_from = Seconds(4);
  // From the beginning of the answer to the crash.
  Duration crash_delay{0};
  // Each deadly request has a deadly part of its own, beside a sound part that
  // other accounts ask for `victim_per_s` times a second.
  bool hostile = false;
  double victim_per_s = 0;
  // Crashes of servers that have another cause.
  double other_crashes_per_s = 0;
  // Servers of one group that such a crash takes down together.
  int other_crash_width = 1;
  // Fraction of the requests that also have one of `sessions` other parts.
  double session_share = 0.3;
  int sessions = 1000;
  // Fraction of the requests whose first part never comes without a second one
  // that goes with it. Callers of such requests were not refused before.
  double paired_share = 0;
  // Fraction of the requests that have one and the same first part.
  double hot_share = 0.1;
  Duration length = Seconds(40);
  std::uint64_t seed = 7;
};

struct PromptFleetResult {
  int deadly_crashes = 0;
  // Crashes by the part with the most.
  int most_crashes_by_one_part = 0;
  // Requests with a part that reached servers later than 4 s after its fifth
  // crash.
  int deadly_sent_late = 0;
  // Requests without a deadly part that were refused by the quarantine.
  int sound_refused = 0;
  // Of the requests without a deadly part that arrived while a group of their
  // service was open, in fractions.
  double served = 0;
  double refused_waiting = 0;  // for isolation
  double refused_pairs = 0;    // of the paired requests
  double delayed = 0;          // for more than 20 ms, by isolation
  // Fraction of the whole time in which a group of a service was halted.
  double halted = 0;

  bool operator==(const PromptFleetResult&) const = default;
};

PromptFleetResult SimulatePromptFleet(const PromptFleetOptions& options);

}  // namespace toucanhollow

#endif  // QUARANTINE_BENCH_FLEET_H_
