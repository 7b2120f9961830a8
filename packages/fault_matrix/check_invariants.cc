#include "fault_matrix/check_invariants.h"

#include <algorithm>
#include <map>
#include <utility>

#include "scenario/fake_endpoint.h"

namespace toucanhollow {
namespace {

// Bounds of I3 and I7.
constexpr Duration kNoNewWorkAfter = Seconds(3);
// Time after the last fault in which service must have returned.
constexpr Duration kRecovery = Seconds(8);
// What an endpoint bears: at first, and at most.
constexpr int kColdLimit = 2;
constexpr int kFullLimit = 32;

std::string At(TimePoint time) {
  return " at " + std::to_string(time.time_since_epoch().count()) + " us";
}

TimePoint EndOf(const FaultSeen& seen) {
  return seen.time + seen.fault.duration + seen.fault.delay;
}

std::string NameOfCode(ResultCode code) {
  return std::string(DescribeResultCode(code).name);
}

bool IsOpenAt(const Run& run, TimePoint time) {
  const bool never_ended =
      !run.whole && !run.cancelled && run.ended == run.started;
  return run.started <= time && (never_ended || run.ended > time);
}

class Checker {
 public:
  explicit Checker(const Observations& seen) : seen(seen) {
    for (const CallerTold& told : seen.told) {
      this->told_of[told.request] = &told;
    }
  }

  std::vector<Violation> Check() {
    this->CheckColdLoad();
    this->CheckLeaving();
    this->CheckAnswers();
    this->CheckRefusals();
    this->CheckAtMostOnce();
    this->CheckShutdown();
    this->CheckService();
    return std::move(this->violations);
  }

 private:
  void Report(const char* invariant, std::string detail) {
    this->violations.push_back({invariant, std::move(detail)});
  }

  const CallerTold* ToldOf(const std::string& request) const {
    const auto found = this->told_of.find(request);
    return found == this->told_of.end() ? nullptr : found->second;
  }

  // The next such event of the node, or the end of the run.
  TimePoint Next(const std::string& node, NodeFact fact, TimePoint after) {
    TimePoint next = this->seen.end;
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.node == node && event.fact == fact && event.time > after) {
        next = std::min(next, event.time);
      }
    }
    return next;
  }

  // I2: from the start of an engine, its load grows by at most one for each
  // completion and at most doubles in each second.
  void CheckColdLoad() {
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact == NodeFact::kEngineStarted) {
        this->CheckLoad(
            event.node, event.time,
            this->Next(event.node, NodeFact::kEngineStarted, event.time));
      }
    }
  }

  void CheckLoad(const std::string& node, TimePoint from, TimePoint to) {
    std::vector<const Run*> runs;
    for (const Run& run : this->seen.runs) {
      if (run.endpoint == node && run.started >= from && run.started < to) {
        runs.push_back(&run);
      }
    }
    for (const Run* run : runs) {
      const auto load = std::ranges::count_if(runs, [&](const Run* other) {
        return IsOpenAt(*other, run->started);
      });
      const auto completed = std::ranges::count_if(runs, [&](const Run* other) {
        return other->whole && other->ended <= run->started;
      });
      const auto seconds =
          std::chrono::duration_cast<std::chrono::seconds>(run->started - from)
              .count();
      const std::int64_t doubled =
          seconds >= 4 ? kFullLimit : kColdLimit << (seconds + 1);
      const std::int64_t bound =
          std::min<std::int64_t>({kFullLimit, kColdLimit + completed, doubled});
      if (load > bound) {
        this->Report("I2", node + " bears " + std::to_string(load) +
                               " requests instead of " + std::to_string(bound) +
                               At(run->started));
        return;
      }
    }
  }

  // I7.
  void CheckLeaving() {
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact != NodeFact::kLeavingStarted) {
        continue;
      }
      const TimePoint restart =
          this->Next(event.node, NodeFact::kProcessStarted, event.time);
      for (const Run& run : this->seen.runs) {
        if (run.endpoint == event.node && run.started < restart &&
            run.started > event.time + kNoNewWorkAfter) {
          this->Report("I7", event.node + " is leaving and started " +
                                 run.request + At(run.started));
        }
      }
    }
  }

  // I4: an answer is the whole answer to the caller's own request, and every
  // caller learns an outcome.
  void CheckAnswers() {
    for (const CallerAsked& asked : this->seen.asked) {
      const CallerTold* told = this->ToldOf(asked.request);
      if (told == nullptr) {
        this->Report("told", asked.request + " was never told an outcome");
        continue;
      }
      if (told->outcome != CallerOutcome::kAnswered) {
        continue;
      }
      const std::string expected =
          WholeAnswer(asked.key.empty() ? asked.request : asked.key,
                      PiecesOf(asked.kind == RequestKind::kStreamedDraft));
      if (told->answer != expected) {
        this->Report("I4", asked.request + " was answered '" + told->answer +
                               "' instead of '" + expected + "'");
      }
      const bool ran =
          std::ranges::any_of(this->seen.runs, [&](const Run& run) {
            return run.request == asked.request ||
                   (!asked.key.empty() && run.key.ends_with("-" + asked.key));
          });
      if (!ran) {
        this->Report("I4", asked.request + " was answered and never ran");
      }
    }
  }

  // I5.
  void CheckRefusals() {
    for (const Run& run : this->seen.runs) {
      const CallerTold* told = this->ToldOf(run.request);
      if (told != nullptr && told->outcome == CallerOutcome::kRefused) {
        this->Report("I5", run.request + " was refused with " +
                               NameOfCode(told->code) + " and ran" +
                               At(run.started));
      }
    }
  }

  // I6.
  void CheckAtMostOnce() {
    std::map<std::string, std::ptrdiff_t> count;
    for (const Run& run : this->seen.runs) {
      if (!run.key.empty()) {
        ++count["key " + run.key];
      }
    }
    for (const CallerAsked& asked : this->seen.asked) {
      if (asked.kind == RequestKind::kUnkeyedCall) {
        count[asked.request] =
            std::ranges::count(this->seen.runs, asked.request, &Run::request);
      }
    }
    for (const auto& [name, runs] : count) {
      if (runs > 1) {
        this->Report("I6", name + " ran " + std::to_string(runs) + " times");
      }
    }
  }

  // I8.
  void CheckShutdown() {
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact != NodeFact::kExited) {
        continue;
      }
      for (const CallerAsked& asked : this->seen.asked) {
        const CallerTold* told = this->ToldOf(asked.request);
        if (told != nullptr && asked.entry_host == event.node &&
            told->time == event.time &&
            told->outcome == CallerOutcome::kUnknown) {
          this->Report(
              "I8", event.node + " exited and cut " + asked.request + " off");
        }
      }
      for (const Run& run : this->seen.runs) {
        if (run.endpoint == event.node && IsOpenAt(run, event.time) &&
            !run.cancelled) {
          this->Report("I8",
                       event.node + " exited while " + run.request + " ran");
        }
      }
    }
  }

  // Long after the last fault, requests are answered again.
  void CheckService() {
    TimePoint quiet{};
    for (const FaultSeen& fault : this->seen.faults) {
      quiet = std::max(quiet, EndOf(fault));
    }
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact == NodeFact::kProcessStarted) {
        quiet = std::max(quiet, event.time);
      }
    }
    std::map<std::string, int> uses;
    for (const CallerAsked& asked : this->seen.asked) {
      // The repeat of a key whose run was lost stays unknown for good.
      const bool is_repeat = !asked.key.empty() && uses[asked.key]++ > 0;
      const CallerTold* told = this->ToldOf(asked.request);
      if (!is_repeat && told != nullptr && asked.time >= quiet + kRecovery &&
          told->outcome != CallerOutcome::kAnswered) {
        this->Report("service", asked.request + " failed with " +
                                    NameOfCode(told->code) +
                                    " long after the last fault");
      }
    }
  }

  const Observations& seen;
  std::map<std::string, const CallerTold*> told_of;
  std::vector<Violation> violations;
};

}  // namespace

std::vector<Violation> CheckInvariants(const Observations& seen) {
  return Checker(seen).Check();
}

}  // namespace toucanhollow
