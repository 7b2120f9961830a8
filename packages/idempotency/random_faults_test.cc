// Simulates agents, an entry host and the log under random faults, and checks
// that no key runs twice and that every "not run" is true.
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "idempotency/claim_agent.h"
#include "idempotency/void_watch.h"

namespace toucanhollow {
namespace {

constexpr WallTime kStart{Seconds(1'000'000)};
constexpr int kAgents = 2;

struct SentDispatch {
  KeyedDispatch dispatch;
  int agent = 0;
  // The copies to deliver, each as the number of ticks until its delivery.
  std::vector<int> deliveries;
  // The tick at which the entry host voids the dispatch.
  int void_at = 0;
  std::optional<VoidWatch> watch;
};

// One agent process.
struct AgentProcess {
  ClaimAgent agent;
  // Number of log entries that the agent has read.
  std::size_t read = 0;
  std::vector<DispatchId> running;
  // The outcome of the append in progress, until it is reported to the agent.
  std::optional<AppendOutcome> append_outcome;
};

struct Simulation {
  std::mt19937_64 random;
  std::vector<ClaimsEntry> log;
  std::vector<std::pair<std::vector<ClaimsRecord>, int>> late_appends;
  std::vector<AgentProcess> agents;
  std::vector<SentDispatch> sent;
  std::map<std::string, int> runs_by_key;
  std::set<DispatchId> ran;
  std::set<DispatchId> reported_not_run;
  std::uint64_t next_incarnation = 1;
  int tick = 0;

  explicit Simulation(unsigned seed) : random(seed), agents(kAgents) {
    for (int agent = 0; agent < kAgents; ++agent) {
      this->Restart(agent);
    }
  }

  std::size_t DrawBelow(std::size_t bound) { return this->random() % bound; }
  TimePoint Now() const { return TimePoint(Milliseconds(100) * this->tick); }
  WallTime WallNow() const { return kStart + Milliseconds(100) * this->tick; }

  void Restart(int agent) {
    this->agents[agent] = {};
    this->agents[agent].agent =
        MakeClaimAgent({"agent-" + std::to_string(agent)},
                       Incarnation{this->next_incarnation++}, kAgents);
  }

  void Write(std::vector<ClaimsRecord> records) {
    const auto offset = static_cast<LogOffset>(this->log.size() + 1);
    this->log.push_back({offset, this->WallNow(), std::move(records)});
  }

  // Appends the records, or fails in one of these ways: without effect, without
  // an answer, late, or twice.
  AppendOutcome Append(const std::vector<ClaimsRecord>& records) {
    switch (this->DrawBelow(8)) {
      case 0:
        return AppendOutcome::kFailed;
      case 1:
        return AppendOutcome::kLost;
      case 2:
        this->late_appends.emplace_back(records, 1 + this->DrawBelow(30));
        return AppendOutcome::kLost;
      case 3:
        this->late_appends.emplace_back(records, 1 + this->DrawBelow(30));
        [[fallthrough]];
      case 4:
        this->Write(records);
        return AppendOutcome::kLost;
      default:
        this->Write(records);
        return AppendOutcome::kAcknowledged;
    }
  }

  void RecordNotRun(const DispatchId& dispatch) {
    INFO(dispatch.value);
    REQUIRE_FALSE(this->ran.contains(dispatch));
    this->reported_not_run.insert(dispatch);
  }

  void ApplyStep(int index, ClaimStep step) {
    AgentProcess& process = this->agents[index];
    process.agent = std::move(step.agent);
    for (const ClaimAction& action : step.actions) {
      if (const auto* run = std::get_if<RunDispatch>(&action)) {
        INFO(run->dispatch.value);
        REQUIRE_FALSE(this->reported_not_run.contains(run->dispatch));
        process.running.push_back(run->dispatch);
      } else if (const auto* refuse = std::get_if<RefuseDispatch>(&action)) {
        if (IsCertainlyNotRun(refuse->code)) {
          this->RecordNotRun(refuse->dispatch);
        }
      } else if (const auto* append = std::get_if<AppendClaims>(&action)) {
        process.append_outcome = this->Append(append->records);
      }
    }
  }

  void StepRuns(int index) {
    AgentProcess& process = this->agents[index];
    for (const DispatchId& id : std::exchange(process.running, {})) {
      if (this->DrawBelow(3) == 0) {
        process.running.push_back(id);
        continue;
      }
      const bool not_run = this->DrawBelow(4) == 0;
      const std::string key = process.agent.pending.at(id).dispatch.key.token;
      if (not_run) {
        this->RecordNotRun(id);
      } else {
        this->ran.insert(id);
        INFO(key);
        REQUIRE(++this->runs_by_key[key] <= 1);
      }
      const RunEnd end = not_run                   ? RunEnd::kNotRun
                         : this->DrawBelow(4) == 0 ? RunEnd::kUnknown
                                                   : RunEnd::kAnswered;
      this->ApplyStep(
          index, RecordRunEnd(std::move(process.agent), id, end, 200, "body"));
    }
  }

  void StepAgent(int index) {
    AgentProcess& process = this->agents[index];
    while (process.read < this->log.size() && this->DrawBelow(4) != 0) {
      this->ApplyStep(
          index, ReadClaims(std::move(process.agent), this->log[process.read++],
                            this->Now()));
    }
    process.agent = ObserveClaimLogEnd(
        std::move(process.agent), static_cast<LogOffset>(this->log.size()));
    if (process.append_outcome && this->DrawBelow(2) == 0) {
      const AppendOutcome append_outcome =
          *std::exchange(process.append_outcome, {});
      this->ApplyStep(index, RecordAppend(std::move(process.agent),
                                          append_outcome, this->Now()));
    }
    this->StepRuns(index);
    this->ApplyStep(index,
                    AdvanceClaims(std::move(process.agent), this->Now()));
  }

  void Send() {
    SentDispatch sent;
    sent.agent = static_cast<int>(this->DrawBelow(kAgents));
    sent.dispatch.id = {"d" + std::to_string(this->sent.size())};
    sent.dispatch.key = {
        kStart, {"acme"}, {"fees"}, "k" + std::to_string(this->DrawBelow(12))};
    sent.dispatch.digest = 7;
    sent.dispatch.receiver = this->agents[sent.agent].agent.incarnation;
    sent.dispatch.start_by =
        this->Now() + Milliseconds(200 + 100 * this->DrawBelow(30));
    const std::size_t copies = this->DrawBelow(6) == 0 ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      sent.deliveries.push_back(static_cast<int>(this->DrawBelow(10)));
    }
    sent.void_at = this->tick + static_cast<int>(this->DrawBelow(20));
    // The entry host reads the end of the stream before it sends.
    sent.watch = MakeVoidWatch(sent.dispatch.key, sent.dispatch.id,
                               static_cast<LogOffset>(this->log.size() + 1));
    this->sent.push_back(std::move(sent));
  }

  void Deliver(SentDispatch& sent) {
    for (int& wait : sent.deliveries) {
      if (wait-- == 0) {
        AgentProcess& process = this->agents[sent.agent];
        // A copy for an earlier incarnation is lost with the connection.
        if (sent.dispatch.receiver == process.agent.incarnation) {
          this->ApplyStep(
              sent.agent,
              ReceiveDispatch(std::move(process.agent), sent.dispatch,
                              this->WallNow(), this->Now()));
        }
      }
    }
  }

  void StepEntryHost() {
    if (this->DrawBelow(4) == 0) {
      this->Send();
    }
    for (SentDispatch& sent : this->sent) {
      this->Deliver(sent);
      if (this->tick == sent.void_at) {
        this->Append({VoidRecord{sent.dispatch.key, sent.dispatch.id}});
      }
      while (sent.watch->next_offset <=
             static_cast<LogOffset>(this->log.size())) {
        sent.watch = UpdateVoidWatch(std::move(*sent.watch),
                                     this->log[sent.watch->next_offset - 1]);
        const DispatchOutcome outcome = GetDispatchOutcome(*sent.watch);
        if (outcome == DispatchOutcome::kNotRun) {
          this->RecordNotRun(sent.dispatch.id);
        } else if (outcome == DispatchOutcome::kAnswered) {
          REQUIRE(this->ran.contains(sent.dispatch.id));
        }
      }
    }
  }

  void Step() {
    ++this->tick;
    for (auto& [records, wait] : this->late_appends) {
      if (--wait == 0) {
        this->Write(records);
      }
    }
    this->StepEntryHost();
    for (int agent = 0; agent < kAgents; ++agent) {
      if (this->DrawBelow(80) == 0) {
        this->Restart(agent);
      }
      if (this->DrawBelow(3) != 0) {
        this->StepAgent(agent);
      }
    }
  }
};

// Guards against a key that runs twice (invariant I6), and against a dispatch
// that runs although it was reported as not run (invariant I5). The faults are
// any mix of lost, late, repeated and failed appends, paused and restarted
// agents, late and repeated dispatches, and voids.
TEST_CASE("under random faults a key runs at most once and not run is true") {
  std::size_t ran = 0;
  std::size_t not_run = 0;
  for (unsigned seed = 0; seed < 300; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(seed);
    for (int i = 0; i < 400; ++i) {
      simulation.Step();
    }
    ran += simulation.ran.size();
    not_run += simulation.reported_not_run.size();
  }
  CHECK(ran > 300);
  CHECK(not_run > 300);
}

}  // namespace
}  // namespace toucanhollow
